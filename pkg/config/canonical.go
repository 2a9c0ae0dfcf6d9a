package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Canonical encodes a set as the body that is published: an objects file that
// Parse accepts, with one object per line, sorted by kind and name. Equal sets
// have identical bytes.
func Canonical(set *Set) ([]byte, error) {
	lines := make(map[Kind][]namedLine, len(kindOrder))
	var failure error
	set.each(func(kind Kind, name string, value any) {
		line, err := objectLine(kind, value)
		if err != nil {
			failure = errors.Annotatef(err, "encode %s %s", kind, name)
		}
		lines[kind] = append(lines[kind], namedLine{name, line})
	})
	if failure != nil {
		return nil, failure
	}
	body := &bytes.Buffer{}
	body.WriteString("{\"objects\":[")
	separator := "\n"
	for _, kind := range kindOrder {
		sorted := lines[kind]
		slices.SortStableFunc(sorted, func(a, b namedLine) int { return strings.Compare(a.name, b.name) })
		for _, l := range sorted {
			body.WriteString(separator)
			body.Write(l.line)
			separator = ",\n"
		}
	}
	body.WriteString("\n]}\n")
	return body.Bytes(), nil
}

type namedLine struct {
	name string
	line []byte
}

// objectLine encodes an object as JSON with its kind as the first field.
func objectLine(kind Kind, value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	line := make([]byte, 0, len(encoded)+len(kind)+len(`"kind":"",`))
	line = append(line, `{"kind":"`...)
	line = append(line, kind...)
	line = append(line, `",`...)
	return append(line, encoded[1:]...), nil
}

// HashBody returns the SHA-256 hash of a body in hexadecimal.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// DecodeBody verifies the hash of a published body and decodes it. It does not
// check the set again, because only checked sets are published. Unknown fields
// and kinds are ignored, so that daemons of two versions can run side by side
// during an upgrade.
func DecodeBody(body []byte, hash string) (*Set, error) {
	if got := HashBody(body); got != hash {
		return nil, &BodyHashError{Want: hash, Got: got}
	}
	p := &parser{unknownKinds: make(map[string]bool)}
	p.parseFile(File{Name: hash, Body: body})
	if err := findingsError(p.findings); err != nil {
		return nil, err
	}
	return p.buildSet(), nil
}
