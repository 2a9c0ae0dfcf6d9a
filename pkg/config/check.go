package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// namePattern restricts names to characters that are safe in URL paths, row
// keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// checker validates all objects of a set together, including the references
// between them.
type checker struct {
	entries []*entry
	// byKind holds the objects by namespace (see namespace) and name.
	byKind   map[Kind]map[string]*entry
	findings []Finding
	// unknownKinds holds the names of objects of unknown kinds. A reference to
	// one of them gives no finding, because the object itself has one.
	unknownKinds map[string]bool
	// allRoutes and allServices cache the capacity of all Routes and all
	// Services, because most accounts may use all of them.
	allRoutes   *capacity
	allServices *capacity
}

func newChecker(entries []*entry, findings []Finding) *checker {
	return &checker{entries: entries, findings: findings, byKind: make(map[Kind]map[string]*entry)}
}

// check runs all checks and collects their findings.
func (c *checker) check() {
	for _, e := range c.entries {
		c.checkName(e)
	}
	c.checkCycles()
	for _, e := range c.entries {
		c.checkObject(e)
	}
	for _, e := range c.entries {
		c.checkRelations(e)
	}
	c.checkEntryRoutes()
	c.checkKeyHashes()
	// Account limits are compared with sums over other objects. They are checked
	// last, so that a mistake in one object is not reported again for every
	// account that depends on it.
	for _, e := range c.entries {
		if account, ok := e.value.(*ClientAccount); ok {
			c.checkAccountCapacity(e, account)
		}
	}
}

// addFinding adds a finding about a field. Only the first finding of each field
// is kept. An absent field of an object with an unknown field gets no finding,
// because the unknown field is usually a misspelling of the absent one.
func (c *checker) addFinding(e *entry, path string, rule Rule, format string, args ...any) {
	if e.source != nil && e.hasUnknownField && path != "" && !e.hasField(path) {
		e.markFailed(path)
		return
	}
	if !e.markFailed(path) {
		return
	}
	file, line := e.position(path)
	c.findings = append(c.findings, Finding{File: file, Line: line, Object: e.label(), Rule: rule,
		Reason: fmt.Sprintf(format, args...)})
}

// require adds a finding about a field unless ok is true. The format continues
// the text 'field "path" '.
func (c *checker) require(ok bool, e *entry, path string, format string, args ...any) {
	if !ok {
		c.addFinding(e, path, RuleBadValue, "field %q "+format, append([]any{path}, args...)...)
	}
}

// namespace returns the kind under which names of kind k must be unique.
// Adapters share the namespace of Models, because callers request both by the
// same field.
func namespace(k Kind) Kind {
	if k == KindAdapter {
		return KindModel
	}
	return k
}

// checkName checks an object's name and registers the object under it.
func (c *checker) checkName(e *entry) {
	switch {
	case e.name == "":
		c.addFinding(e, "name", RuleBadName, "field \"name\" is missing")
		return
	case !namePattern.MatchString(e.name):
		c.addFinding(e, "name", RuleBadName, "name must match %s", namePattern)
	}
	kind := namespace(e.kind)
	names := c.byKind[kind]
	if names == nil {
		names = make(map[string]*entry)
		c.byKind[kind] = names
	}
	if first, ok := names[e.name]; ok {
		c.addFinding(e, "name", RuleDuplicateName, "duplicate name, first declared as %s%s", first.label(), declaredAt(first))
		return
	}
	names[e.name] = e
}

// declaredAt returns " at file:line" for a finding's text, or "" for an object
// that comes from no file.
func declaredAt(e *entry) string {
	file, line := e.position("name")
	if file == "" {
		return ""
	}
	return " at " + file + ":" + strconv.Itoa(line)
}

// checkReference adds a finding unless name is an existing object of the kind. A
// reference to an object of an unknown kind is only marked as failed, because
// that object already has a finding.
func (c *checker) checkReference(e *entry, path string, kind Kind, name string) {
	_, ok := c.byKind[kind][name]
	switch {
	case ok:
	case name == "":
		c.require(false, e, path, "is missing")
	case c.unknownKinds[name]:
		e.markFailed(path)
	default:
		c.addFinding(e, path, RuleDanglingReference, "field %q names %s %q, which does not exist", path, kindName(kind), name)
	}
}

func kindName(k Kind) string {
	if k == KindModel {
		return "Model or Adapter"
	}
	return string(k)
}

// itemPath returns the path of an element of a list.
func itemPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// checkReferences checks a list of object names and reports repeated ones.
func (c *checker) checkReferences(e *entry, path string, kind Kind, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		namePath := itemPath(path, i)
		if seen[name] && name != "" {
			c.require(false, e, namePath, "names %q again", name)
			continue
		}
		seen[name] = true
		c.checkReference(e, namePath, kind, name)
	}
}

// checkCycles reports each cycle of Adapters and of fallback Routes once.
func (c *checker) checkCycles() {
	c.checkCyclesOfKind(KindAdapter, "model", func(e *entry) *entry {
		if a, ok := e.value.(*Adapter); ok {
			return c.byKind[KindModel][a.Model]
		}
		return nil
	})
	c.checkCyclesOfKind(KindRoute, "fallback", func(e *entry) *entry {
		return c.byKind[KindRoute][e.value.(*Route).Fallback]
	})
}

// checkCyclesOfKind reports each cycle in the chains that next follows from the
// objects of one kind. Each object is visited once; reaching an object that was
// visited from the same start is a new cycle.
func (c *checker) checkCyclesOfKind(kind Kind, field string, next func(*entry) *entry) {
	visitedBy := make(map[*entry]*entry)
	for _, start := range c.entries {
		if start.kind != kind {
			continue
		}
		e := start
		for e != nil && visitedBy[e] == nil {
			visitedBy[e] = start
			e = next(e)
		}
		if e != nil && visitedBy[e] == start {
			c.addFinding(e, field, RuleCycle, "field %q closes a cycle: %s", field, cyclePath(e, next))
		}
	}
}

// cyclePath returns the names on the cycle through start, such as "a -> b -> a".
func cyclePath(start *entry, next func(*entry) *entry) string {
	names := []string{start.name}
	for e := next(start); e != start; e = next(e) {
		names = append(names, e.name)
	}
	return strings.Join(append(names, start.name), " -> ")
}
