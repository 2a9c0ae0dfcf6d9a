package config

import (
	"bytes"
	"os"
	"sort"
	"strings"
)

const (
	// maxFileBytes is the largest size of a configuration file, in bytes.
	maxFileBytes = 64 << 20
	// maxNestingDepth bounds how deeply brackets may be nested; the deepest
	// valid object needs 5 levels. The parser is recursive, so unbounded
	// nesting would exhaust the stack.
	maxNestingDepth = 32
)

// File is a configuration file.
type File struct {
	Name string
	Body []byte
}

// ReadFiles reads the files at the given paths.
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

// source maps byte offsets in a file to line numbers.
type source struct {
	name string
	// lineStarts holds the offsets at which the lines start.
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

// entry is an object with its position in the source file and the state of its
// checks.
type entry struct {
	kind  Kind
	name  string
	value any

	// source is nil for an object that comes from no file.
	source *source
	offset int
	// fieldOffsets holds the offsets of the fields that occur in the source, by
	// field path.
	fieldOffsets map[string]int
	// failedFields holds the paths of the fields with a finding. Each field
	// gets at most one.
	failedFields map[string]bool
	// hasUnknownField is set when the object has an unknown field, which may be
	// the misspelled name of a field that then appears to be missing.
	hasUnknownField bool
}

// label returns the kind and name that identify the object in a finding.
func (e *entry) label() string {
	if e.name == "" {
		return string(e.kind) + " without a name"
	}
	return string(e.kind) + " \"" + e.name + "\""
}

// hasField reports whether the field occurs in the source.
func (e *entry) hasField(path string) bool {
	_, ok := e.fieldOffsets[path]
	return ok
}

// markFailed marks a field as having a finding and reports whether it had none
// before.
func (e *entry) markFailed(path string) bool {
	if e.failedFields[path] {
		return false
	}
	if e.failedFields == nil {
		e.failedFields = make(map[string]bool, 1)
	}
	e.failedFields[path] = true
	return true
}

// offsetOf returns the offset of a field, else of the nearest enclosing field,
// else of the object.
func (e *entry) offsetOf(path string) int {
	for path != "" {
		if offset, ok := e.fieldOffsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return e.offset
}

// position returns the file and line of a field, or "" and 0 for an object that
// comes from no file.
func (e *entry) position(path string) (string, int) {
	if e.source == nil {
		return "", 0
	}
	return e.source.name, e.source.line(e.offsetOf(path))
}

// nestingDepth returns the largest nesting depth of brackets outside strings and
// comments.
func nestingDepth(body []byte) int {
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

// skipString returns the offset of the quote or line break that ends the string
// at start.
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

// skipComment returns the offset of the last byte of the comment at start, or
// start itself if no comment begins there.
func skipComment(body []byte, start int) int {
	var terminator string
	switch {
	case bytes.HasPrefix(body[start:], []byte("//")):
		terminator = "\n"
	case bytes.HasPrefix(body[start:], []byte("/*")):
		terminator = "*/"
	default:
		return start
	}
	text := body[start+2:]
	end := bytes.Index(text, []byte(terminator))
	if end < 0 {
		return len(body)
	}
	return start + 2 + end + len(terminator) - 1
}
