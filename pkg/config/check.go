package config

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// namePattern keeps names usable in URL paths, row keys and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// checker checks the objects of a set together.
type checker struct {
	entries  []*entry
	byKind   map[Kind]map[string]*entry
	findings []Finding
	// unknownKinds are the names of objects of unknown kinds, references to
	// which are not reported again.
	unknownKinds map[string]bool
	// allRoutes and allServices are the capacity behind all Routes and all
	// Services, which most accounts may use.
	allRoutes   *capacity
	allServices *capacity
}

func newChecker(entries []*entry, findings []Finding) *checker {
	return &checker{entries: entries, findings: findings, byKind: make(map[Kind]map[string]*entry)}
}

func (c *checker) check() {
	for _, e := range c.entries {
		c.name(e)
	}
	c.cycles()
	for _, e := range c.entries {
		c.object(e)
	}
	for _, e := range c.entries {
		c.relations(e)
	}
	c.entryRoutes()
	c.keyHashes()
	// Limits are sums over other objects and are checked last, so that a
	// mistake in one object is not reported again at all that depend on it.
	for _, e := range c.entries {
		if account, ok := e.value.(*ClientAccount); ok {
			c.accountCapacity(e, account)
		}
	}
}

// fail adds a finding about a field. A field gets one finding. A field that is
// absent gets none while the object has an unknown field, which is usually the
// absent field misspelt.
func (c *checker) fail(e *entry, path string, rule Rule, format string, args ...any) {
	if e.source != nil && e.unknownField && path != "" && !e.has(path) {
		e.fail(path)
		return
	}
	if !e.fail(path) {
		return
	}
	file, line := e.position(path)
	c.findings = append(c.findings, Finding{File: file, Line: line, Object: e.label(), Rule: rule,
		Reason: fmt.Sprintf(format, args...)})
}

// require adds a finding unless ok holds.
func (c *checker) require(ok bool, e *entry, path string, format string, args ...any) {
	if !ok {
		c.fail(e, path, RuleBadValue, "field %q "+format, append([]any{path}, args...)...)
	}
}

// namespace returns the kind whose names a kind shares: callers name Adapters
// like Models.
func namespace(k Kind) Kind {
	if k == KindAdapter {
		return KindModel
	}
	return k
}

func (c *checker) name(e *entry) {
	switch {
	case e.name == "":
		c.fail(e, "name", RuleBadName, "field \"name\" is missing")
		return
	case !namePattern.MatchString(e.name):
		c.fail(e, "name", RuleBadName, "name must match %s", namePattern)
	}
	kind := namespace(e.kind)
	names := c.byKind[kind]
	if names == nil {
		names = make(map[string]*entry)
		c.byKind[kind] = names
	}
	if first, ok := names[e.name]; ok {
		c.fail(e, "name", RuleDuplicateName, "duplicate name, first declared as %s%s", first.label(), declaredAt(first))
		return
	}
	names[e.name] = e
}

func declaredAt(e *entry) string {
	file, line := e.position("name")
	if file == "" {
		return ""
	}
	return " at " + file + ":" + strconv.Itoa(line)
}

// reference adds a finding unless a field names an object. The name of an object
// of an unknown kind is marked only, as that object has a finding.
func (c *checker) reference(e *entry, path string, kind Kind, name string) {
	_, ok := c.byKind[kind][name]
	switch {
	case ok:
	case name == "":
		c.require(false, e, path, "is missing")
	case c.unknownKinds[name]:
		e.fail(path)
	default:
		c.fail(e, path, RuleDanglingReference, "field %q names %s %q, which does not exist", path, kindName(kind), name)
	}
}

func kindName(k Kind) string {
	if k == KindModel {
		return "Model or Adapter"
	}
	return string(k)
}

// item is the path of an item of a list.
func item(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// references checks the names of a list.
func (c *checker) references(e *entry, path string, kind Kind, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		place := item(path, i)
		if seen[name] && name != "" {
			c.require(false, e, place, "names %q again", name)
			continue
		}
		seen[name] = true
		c.reference(e, place, kind, name)
	}
}

// cycles reports each cycle of Adapters and of fallback Routes once.
func (c *checker) cycles() {
	c.cyclesOf(KindAdapter, "model", func(e *entry) *entry {
		if a, ok := e.value.(*Adapter); ok {
			return c.byKind[KindModel][a.Model]
		}
		return nil
	})
	c.cyclesOf(KindRoute, "fallback", func(e *entry) *entry {
		return c.byKind[KindRoute][e.value.(*Route).Fallback]
	})
}

func (c *checker) cyclesOf(kind Kind, field string, next func(*entry) *entry) {
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
			c.fail(e, field, RuleCycle, "field %q closes a cycle: %s", field, cyclePath(e, next))
		}
	}
}

func cyclePath(start *entry, next func(*entry) *entry) string {
	names := []string{start.name}
	for e := next(start); e != start; e = next(e) {
		names = append(names, e.name)
	}
	return strings.Join(append(names, start.name), " -> ")
}
