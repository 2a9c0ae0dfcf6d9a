package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Load reads, parses and checks files together.
func Load(paths ...string) (*Set, error) {
	files, err := ReadFiles(paths...)
	if err != nil {
		return nil, err
	}
	return Parse(files...)
}

// Parse parses files strictly and checks all their objects together. It
// returns an InvalidError with all findings.
func Parse(files ...File) (*Set, error) {
	p := &parser{strict: true, unknownKinds: make(map[string]bool)}
	for _, f := range files {
		p.file(f)
	}
	c := newChecker(p.entries, p.findings)
	c.unknownKinds = p.unknownKinds
	c.check()
	if err := invalid(c.findings); err != nil {
		return nil, err
	}
	return p.set(), nil
}

// Check checks a set whose objects come from no file.
func Check(set *Set) error {
	var entries []*entry
	set.each(func(kind Kind, name string, value any) {
		entries = append(entries, &entry{kind: kind, name: name, value: value})
	})
	c := newChecker(entries, nil)
	c.check()
	return invalid(c.findings)
}

// parser reads objects from files.
type parser struct {
	// strict reports what is unknown; otherwise it is ignored.
	strict   bool
	entries  []*entry
	findings []Finding
	// unknownKinds are the names of objects of unknown kinds.
	unknownKinds map[string]bool

	source *source
}

func (p *parser) set() *Set {
	set := &Set{}
	for _, e := range p.entries {
		set.add(e.value)
	}
	return set
}

func (p *parser) fail(offset int, object string, rule Rule, format string, args ...any) {
	p.findings = append(p.findings, Finding{File: p.source.name, Line: p.source.line(offset),
		Object: object, Rule: rule, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) file(f File) {
	p.source = newSource(f)
	if len(f.Body) > maxFileBytes {
		p.fail(0, "file", RuleSyntax, "file has %d bytes, at most %d", len(f.Body), maxFileBytes)
		return
	}
	if depth := nesting(f.Body); depth > maxNesting {
		p.fail(0, "file", RuleSyntax, "brackets are nested %d deep, at most %d", depth, maxNesting)
		return
	}
	value, err := hujson.Parse(f.Body)
	if err != nil {
		p.syntaxError(err)
		return
	}
	p.root(value)
}

// syntaxError takes the line from the library's message, its only place.
func (p *parser) syntaxError(err error) {
	reason := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1
	if rest, ok := strings.CutPrefix(reason, "line "); ok {
		number, text, _ := strings.Cut(rest, ", ")
		if n, convErr := strconv.Atoi(number); convErr == nil {
			line, reason = n, text
		}
	}
	p.findings = append(p.findings, Finding{File: p.source.name, Line: line, Object: "file",
		Rule: RuleSyntax, Reason: reason})
}

func (p *parser) root(value hujson.Value) {
	root, ok := value.Value.(*hujson.Object)
	if !ok {
		p.fail(value.StartOffset, "file", RuleWrongType, "must be an object with the field \"objects\"")
		return
	}
	found := false
	for i := range root.Members {
		m := &root.Members[i]
		switch name := memberName(m); {
		case name != "objects":
			p.unknown(m.Name.StartOffset, "file", RuleUnknownField, "unknown field %q", name)
		case found:
			p.fail(m.Name.StartOffset, "file", RuleDuplicateField, "field \"objects\" is given twice")
		default:
			found = true
			p.objects(m.Value)
		}
	}
	if !found {
		p.fail(value.StartOffset, "file", RuleBadValue, "field \"objects\" is missing")
	}
}

func (p *parser) unknown(offset int, object string, rule Rule, format string, args ...any) {
	if p.strict {
		p.fail(offset, object, rule, format, args...)
	}
}

func (p *parser) objects(value hujson.Value) {
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		p.fail(value.StartOffset, "file", RuleWrongType, "field \"objects\" must be an array")
		return
	}
	for _, element := range list.Elements {
		p.object(element)
	}
}

func (p *parser) object(value hujson.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.fail(value.StartOffset, "object", RuleWrongType, "must be an object with the fields \"kind\" and \"name\"")
		return
	}
	e := &entry{source: p.source, offset: value.StartOffset, fields: make(map[string]int, len(object.Members))}
	e.kind, e.name = Kind(stringMember(object, "kind")), stringMember(object, "name")
	t, ok := kindTypes[e.kind]
	if e.kind == "" {
		p.fail(value.StartOffset, "object", RuleUnknownKind, "field \"kind\" is missing or no string")
		return
	}
	if !ok {
		p.unknownKinds[e.name] = true
		p.unknown(value.StartOffset, e.label(), RuleUnknownKind, "unknown kind %q", e.kind)
		return
	}
	target := reflect.New(t)
	d := &decoder{parser: p, entry: e}
	d.object(object, target.Elem(), "")
	e.value = target.Interface()
	p.entries = append(p.entries, e)
}

// decoder fills the struct of one object and records where its fields are.
type decoder struct {
	*parser
	entry *entry
}

func (d *decoder) failField(offset int, path string, rule Rule, format string, args ...any) {
	d.entry.fail(path)
	d.parser.fail(offset, d.entry.label(), rule, format, args...)
}

func (d *decoder) object(object *hujson.Object, target reflect.Value, prefix string) {
	fields := fieldsByType[target.Type()]
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		path := prefix + name
		index, known := fields[name]
		switch {
		case name == "kind" && prefix == "":
			d.once(m, path)
		case !known:
			d.unknownField(m, path)
		case d.once(m, path):
			d.value(m.Value, target.Field(index), path)
		}
	}
}

// once records the place of a field and reports whether it is new.
func (d *decoder) once(m *hujson.ObjectMember, path string) bool {
	if d.entry.has(path) {
		d.failField(m.Name.StartOffset, path, RuleDuplicateField, "field %q is given twice", path)
		return false
	}
	d.entry.fields[path] = m.Name.StartOffset
	return true
}

func (d *decoder) unknownField(m *hujson.ObjectMember, path string) {
	d.entry.unknownField = true
	if d.strict {
		d.failField(m.Name.StartOffset, path, RuleUnknownField, "unknown field %q", path)
	}
}

func (d *decoder) value(v hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Struct:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			d.wrongType(v, path, "an object")
			return
		}
		d.object(object, target, path+".")
	case reflect.Slice:
		d.list(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

func (d *decoder) list(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		place := item(path, i)
		d.entry.fields[place] = element.StartOffset
		d.value(element, target.Index(i), place)
	}
}

func (d *decoder) literal(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if text, plain := plainString(literal); plain && target.Kind() == reflect.String {
		target.SetString(text)
		return
	}
	if ok && literal.Kind() != 'n' && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	d.wrongType(v, path, typeName(target.Kind()))
}

func (d *decoder) wrongType(v hujson.Value, path, want string) {
	d.failField(v.StartOffset, path, RuleWrongType, "field %q must be %s", path, want)
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func memberName(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literalString(literal)
	}
	return ""
}

// literalString decodes a string literal. Most hold plain ASCII, which needs no
// decoding.
func literalString(literal hujson.Literal) string {
	if text, ok := plainString(literal); ok {
		return text
	}
	return literal.String()
}

// plainString returns the text of a string literal without escapes.
func plainString(literal hujson.Literal) (string, bool) {
	if len(literal) < 2 || literal[0] != '"' {
		return "", false
	}
	text := literal[1 : len(literal)-1]
	for _, b := range text {
		if b == '\\' || b < ' ' || b > '~' {
			return "", false
		}
	}
	return string(text), true
}

// stringMember returns the first member of a name if it is a string.
func stringMember(object *hujson.Object, name string) string {
	for i := range object.Members {
		m := &object.Members[i]
		if memberName(m) != name {
			continue
		}
		if literal, ok := m.Value.Value.(hujson.Literal); ok && literal.Kind() == '"' {
			return literalString(literal)
		}
		return ""
	}
	return ""
}
