package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// ChangeKind says what happened to a declaration.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is a difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path names the declaration, such as organisations/acme/rate.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSpace("+ " + c.Path + " " + c.New)
	case Removed:
		return "- " + c.Path
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists the changes that lead from old to new. Items of lists are compared by their name, so that their order does not
// count. Both must have been loaded, so that absent fields have their defaults.
func Diff(old, new *Config) []Change {
	return diffStruct("", reflect.ValueOf(old).Elem(), reflect.ValueOf(new).Elem())
}

func diffStruct(path string, old, new reflect.Value) []Change {
	var changes []Change
	for _, s := range schemaOf(old.Type()) {
		changes = append(changes, diffValue(s, join(path, s.name), old.Field(s.index), new.Field(s.index))...)
	}
	return changes
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

func diffValue(s schemaField, path string, old, new reflect.Value) []Change {
	switch {
	case s.key != "":
		return diffList(s, path, old, new)
	case old.Kind() == reflect.Struct:
		return diffStruct(path, old, new)
	case isEmpty(old) && isEmpty(new), reflect.DeepEqual(old.Interface(), new.Interface()):
		return nil
	}
	return []Change{{Kind: Changed, Path: path, Old: show(old), New: show(new)}}
}

func isEmpty(v reflect.Value) bool {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}

func diffList(s schemaField, path string, old, new reflect.Value) []Change {
	key, _ := schemaByName(s.typ.Elem(), s.key)
	index := func(list reflect.Value) map[string]int {
		m := make(map[string]int, list.Len())
		for i := range list.Len() {
			m[list.Index(i).Field(key.index).String()] = i
		}
		return m
	}
	inOld, inNew := index(old), index(new)
	var changes []Change
	for i := range old.Len() {
		name := old.Index(i).Field(key.index).String()
		j, ok := inNew[name]
		if !ok {
			changes = append(changes, Change{Kind: Removed, Path: join(path, name), Old: show(old.Index(i))})
			continue
		}
		changes = append(changes, diffStruct(join(path, name), old.Index(i), new.Index(j))...)
	}
	for j := range new.Len() {
		name := new.Index(j).Field(key.index).String()
		if _, ok := inOld[name]; !ok {
			changes = append(changes, Change{Kind: Added, Path: join(path, name), New: show(new.Index(j))})
		}
	}
	return changes
}

// show returns a value in short form.
func show(v reflect.Value) string {
	if d, ok := v.Interface().(time.Duration); ok {
		return d.String()
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(text)
}
