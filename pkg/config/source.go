package config

import (
	"bytes"
	"os"
	"sort"
	"strings"
)

const (
	// maxFileBytes bounds one file of a configuration.
	maxFileBytes = 64 << 20
	// maxNesting bounds brackets within brackets; the deepest object needs 5.
	// The parser recurses, so that unbounded nesting exhausts the stack.
	maxNesting = 32
)

// File is a file of a configuration.
type File struct {
	Name string
	Body []byte
}

// ReadFiles reads files by their paths.
func ReadFiles(paths ...string) ([]File, error) {
	files := make([]File, 0, len(paths))
	for _, path := range paths {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, &UnreadableFileError{File: path, Cause: err}
		}
		files = append(files, File{Name: path, Body: body})
	}
	return files, nil
}

// source maps offsets in a file to lines.
type source struct {
	name string
	// lineStarts are the offsets at which the lines start.
	lineStarts []int
}

func newSource(f File) *source {
	starts := make([]int, 1, 1+bytes.Count(f.Body, []byte("\n")))
	for i, b := range f.Body {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return &source{name: f.Name, lineStarts: starts}
}

func (s *source) line(offset int) int {
	return sort.SearchInts(s.lineStarts, offset+1)
}

// entry is an object with what is known of its source.
type entry struct {
	kind  Kind
	name  string
	value any

	// source is nil for an object that comes from no file.
	source *source
	offset int
	// fields are the offsets of the fields that the source has.
	fields map[string]int
	// failed are the fields with a finding, each of which gets only one.
	failed map[string]bool
	// unknownField is set when a field is unknown, which may be the misspelt
	// name of a field that then seems to be missing.
	unknownField bool
}

// label names the object in a finding.
func (e *entry) label() string {
	if e.name == "" {
		return string(e.kind) + " without a name"
	}
	return string(e.kind) + " \"" + e.name + "\""
}

// has reports whether the source has the field.
func (e *entry) has(path string) bool {
	_, ok := e.fields[path]
	return ok
}

// fail marks a field and reports whether it had no finding before.
func (e *entry) fail(path string) bool {
	if e.failed[path] {
		return false
	}
	if e.failed == nil {
		e.failed = make(map[string]bool, 1)
	}
	e.failed[path] = true
	return true
}

// offsetOf returns the offset of a field, of the nearest field around it, or of
// the object.
func (e *entry) offsetOf(path string) int {
	for path != "" {
		if offset, ok := e.fields[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return e.offset
}

// position returns the file and line of a field.
func (e *entry) position(path string) (string, int) {
	if e.source == nil {
		return "", 0
	}
	return e.source.name, e.source.line(e.offsetOf(path))
}

// nesting returns the largest depth of brackets outside strings and comments.
func nesting(body []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		case '"':
			i = skipString(body, i)
		case '/':
			i = skipComment(body, i)
		}
	}
	return deepest
}

// skipString returns the offset of the quote that ends the string at start.
func skipString(body []byte, start int) int {
	for i := start + 1; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '"', '\n':
			return i
		}
	}
	return len(body)
}

// skipComment returns the offset of the last byte of the comment at start.
func skipComment(body []byte, start int) int {
	var mark string
	switch {
	case bytes.HasPrefix(body[start:], []byte("//")):
		mark = "\n"
	case bytes.HasPrefix(body[start:], []byte("/*")):
		mark = "*/"
	default:
		return start
	}
	text := body[start+2:]
	end := bytes.Index(text, []byte(mark))
	if end < 0 {
		return len(body)
	}
	return start + 2 + end + len(mark) - 1
}
