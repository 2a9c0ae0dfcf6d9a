package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Action is the type of a change to an object.
type Action string

// The actions of a change.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// FieldChange holds the old and the new value of a field of a changed object.
type FieldChange struct {
	Field string          `json:"field"`
	Old   json.RawMessage `json:"old"`
	New   json.RawMessage `json:"new"`
}

// Change is the difference between two versions of one object.
type Change struct {
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	parts := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Field, f.Old, f.New))
	}
	line := fmt.Sprintf("%s %s %q", c.Action, c.Kind, c.Name)
	if len(parts) > 0 {
		line += ": " + strings.Join(parts, ", ")
	}
	return line
}

type objectKey struct {
	kind Kind
	name string
}

// Diff returns the changes that turn one set into another, sorted by kind and
// name.
func Diff(from, to *Set) []Change {
	before, after := objectsByKey(from), objectsByKey(to)
	var changes []Change
	for key, old := range before {
		if value, ok := after[key]; !ok {
			changes = append(changes, Change{Kind: key.kind, Name: key.name, Action: ActionRemoved})
		} else if fields := diffFields(old, value); len(fields) > 0 {
			changes = append(changes, Change{Kind: key.kind, Name: key.name, Action: ActionChanged, Fields: fields})
		}
	}
	for key := range after {
		if _, ok := before[key]; !ok {
			changes = append(changes, Change{Kind: key.kind, Name: key.name, Action: ActionAdded})
		}
	}
	slices.SortFunc(changes, compareChanges)
	return changes
}

func compareChanges(a, b Change) int {
	if a.Kind != b.Kind {
		return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
	}
	return strings.Compare(a.Name, b.Name)
}

func objectsByKey(set *Set) map[objectKey]reflect.Value {
	objects := make(map[objectKey]reflect.Value, set.Len())
	set.each(func(kind Kind, name string, value any) {
		objects[objectKey{kind, name}] = reflect.ValueOf(value).Elem()
	})
	return objects
}

func diffFields(from, to reflect.Value) []FieldChange {
	var fields []FieldChange
	for i := range from.NumField() {
		before, after := encodeField(from.Field(i)), encodeField(to.Field(i))
		if !bytes.Equal(before, after) {
			fields = append(fields, FieldChange{Field: jsonName(from.Type().Field(i)), Old: before, New: after})
		}
	}
	return fields
}

// encodeField encodes a field as JSON, an absent list like an empty one. Fields
// hold strings, booleans, numbers and lists, whose encoding fails only for a
// number that is infinite or NaN, which the check rejects.
func encodeField(v reflect.Value) json.RawMessage {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return json.RawMessage("[]")
	}
	encoded, err := json.Marshal(v.Interface())
	if err != nil {
		return json.RawMessage("null")
	}
	return encoded
}
