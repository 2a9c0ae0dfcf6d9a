package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Load reads files and parses and checks their objects together.
func Load(paths ...string) (*Set, error) {
	files, err := ReadFiles(paths...)
	if err != nil {
		return nil, err
	}
	return Parse(files...)
}

// Parse parses files and checks all their objects together. Unknown fields and
// kinds are errors. If there are findings, it returns an InvalidError with all of
// them.
func Parse(files ...File) (*Set, error) {
	p := &parser{strict: true, unknownKinds: make(map[string]bool)}
	for _, f := range files {
		p.parseFile(f)
	}
	c := newChecker(p.entries, p.findings)
	c.unknownKinds = p.unknownKinds
	c.check()
	if err := findingsError(c.findings); err != nil {
		return nil, err
	}
	return p.buildSet(), nil
}

// Check checks a set whose objects come from no file.
func Check(set *Set) error {
	var entries []*entry
	set.each(func(kind Kind, name string, value any) {
		entries = append(entries, &entry{kind: kind, name: name, value: value})
	})
	c := newChecker(entries, nil)
	c.check()
	return findingsError(c.findings)
}

// parser reads objects from files.
type parser struct {
	// strict reports unknown fields and kinds, which are ignored otherwise.
	strict   bool
	entries  []*entry
	findings []Finding
	// unknownKinds holds the names of objects of unknown kinds.
	unknownKinds map[string]bool

	// source is the file that is being parsed.
	source *source
}

func (p *parser) buildSet() *Set {
	set := &Set{}
	for _, e := range p.entries {
		set.add(e.value)
	}
	return set
}

func (p *parser) addFinding(offset int, object string, rule Rule, format string, args ...any) {
	p.findings = append(p.findings, Finding{File: p.source.name, Line: p.source.line(offset),
		Object: object, Rule: rule, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseFile(f File) {
	p.source = newSource(f)
	if len(f.Body) > maxFileBytes {
		p.addFinding(0, "file", RuleSyntax, "file has %d bytes, at most %d", len(f.Body), maxFileBytes)
		return
	}
	if depth := nestingDepth(f.Body); depth > maxNestingDepth {
		p.addFinding(0, "file", RuleSyntax, "brackets are nested %d deep, at most %d", depth, maxNestingDepth)
		return
	}
	value, err := hujson.Parse(f.Body)
	if err != nil {
		p.addSyntaxFinding(err)
		return
	}
	p.parseRoot(value)
}

// addSyntaxFinding adds a finding for a syntax error. It takes the line number from
// the error's text, because the library returns it nowhere else.
func (p *parser) addSyntaxFinding(err error) {
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

// parseRoot parses the top-level object of a file.
func (p *parser) parseRoot(value hujson.Value) {
	root, ok := value.Value.(*hujson.Object)
	if !ok {
		p.addFinding(value.StartOffset, "file", RuleWrongType, "must be an object with the field \"objects\"")
		return
	}
	found := false
	for i := range root.Members {
		m := &root.Members[i]
		switch name := memberName(m); {
		case name != "objects":
			p.reportUnknown(m.Name.StartOffset, "file", RuleUnknownField, "unknown field %q", name)
		case found:
			p.addFinding(m.Name.StartOffset, "file", RuleDuplicateField, "field \"objects\" is given twice")
		default:
			found = true
			p.parseObjects(m.Value)
		}
	}
	if !found {
		p.addFinding(value.StartOffset, "file", RuleBadValue, "field \"objects\" is missing")
	}
}

// reportUnknown adds a finding for an unknown field or kind if the parser is
// strict.
func (p *parser) reportUnknown(offset int, object string, rule Rule, format string, args ...any) {
	if p.strict {
		p.addFinding(offset, object, rule, format, args...)
	}
}

func (p *parser) parseObjects(value hujson.Value) {
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		p.addFinding(value.StartOffset, "file", RuleWrongType, "field \"objects\" must be an array")
		return
	}
	for _, element := range list.Elements {
		p.parseObject(element)
	}
}

// parseObject decodes one object and adds it to the entries. An object of an
// unknown kind is left out.
func (p *parser) parseObject(value hujson.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		p.addFinding(value.StartOffset, "object", RuleWrongType, "must be an object with the fields \"kind\" and \"name\"")
		return
	}
	e := &entry{source: p.source, offset: value.StartOffset, fieldOffsets: make(map[string]int, len(object.Members))}
	e.kind, e.name = Kind(stringMember(object, "kind")), stringMember(object, "name")
	t, ok := kindTypes[e.kind]
	if e.kind == "" {
		p.addFinding(value.StartOffset, "object", RuleUnknownKind, "field \"kind\" is missing or no string")
		return
	}
	if !ok {
		p.unknownKinds[e.name] = true
		p.reportUnknown(value.StartOffset, e.label(), RuleUnknownKind, "unknown kind %q", e.kind)
		return
	}
	target := reflect.New(t)
	d := &decoder{parser: p, entry: e}
	d.decodeObject(object, target.Elem(), "")
	e.value = target.Interface()
	p.entries = append(p.entries, e)
}

// decoder fills the struct of one object and records the offsets of its fields.
type decoder struct {
	*parser
	entry *entry
}

func (d *decoder) addFieldFinding(offset int, path string, rule Rule, format string, args ...any) {
	d.entry.markFailed(path)
	d.parser.addFinding(offset, d.entry.label(), rule, format, args...)
}

func (d *decoder) decodeObject(object *hujson.Object, target reflect.Value, prefix string) {
	fields := fieldsByType[target.Type()]
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		path := prefix + name
		index, known := fields[name]
		switch {
		case name == "kind" && prefix == "":
			d.recordField(m, path)
		case !known:
			d.reportUnknownField(m, path)
		case d.recordField(m, path):
			d.decodeValue(m.Value, target.Field(index), path)
		}
	}
}

// recordField records the offset of a field and reports whether this is its
// first occurrence. A repeated field gets a finding.
func (d *decoder) recordField(m *hujson.ObjectMember, path string) bool {
	if d.entry.hasField(path) {
		d.addFieldFinding(m.Name.StartOffset, path, RuleDuplicateField, "field %q is given twice", path)
		return false
	}
	d.entry.fieldOffsets[path] = m.Name.StartOffset
	return true
}

func (d *decoder) reportUnknownField(m *hujson.ObjectMember, path string) {
	d.entry.hasUnknownField = true
	if d.strict {
		d.addFieldFinding(m.Name.StartOffset, path, RuleUnknownField, "unknown field %q", path)
	}
}

func (d *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Struct:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			d.reportWrongType(v, path, "an object")
			return
		}
		d.decodeObject(object, target, path+".")
	case reflect.Slice:
		d.decodeList(v, target, path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

func (d *decoder) decodeList(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportWrongType(v, path, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		elementPath := itemPath(path, i)
		d.entry.fieldOffsets[elementPath] = element.StartOffset
		d.decodeValue(element, target.Index(i), elementPath)
	}
}

// decodeLiteral decodes a string, number or boolean. null is not accepted.
func (d *decoder) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if text, plain := plainString(literal); plain && target.Kind() == reflect.String {
		target.SetString(text)
		return
	}
	if ok && literal.Kind() != 'n' && json.Unmarshal(literal, target.Addr().Interface()) == nil {
		return
	}
	d.reportWrongType(v, path, typeName(target.Kind()))
}

func (d *decoder) reportWrongType(v hujson.Value, path, want string) {
	d.addFieldFinding(v.StartOffset, path, RuleWrongType, "field %q must be %s", path, want)
}

// typeName describes the JSON type that a field of kind k requires.
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

// memberName returns the decoded name of an object member.
func memberName(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literalString(literal)
	}
	return ""
}

// literalString decodes a string literal. Most literals are plain ASCII, for
// which the general decoding is skipped.
func literalString(literal hujson.Literal) string {
	if text, ok := plainString(literal); ok {
		return text
	}
	return literal.String()
}

// plainString returns the text of a string literal that consists of printable
// ASCII without escapes; it returns false for any other literal.
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

// stringMember returns the value of the first member with the given name if it
// is a string, else "".
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
