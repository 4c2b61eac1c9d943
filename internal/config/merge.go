package config

import (
	"reflect"
	"sync"

	"go.yaml.in/yaml/v3"
)

// removeField marks an item of a list in an overlay that shall be removed.
const removeField = "remove"

// schemaField is a declared field of a struct.
type schemaField struct {
	index    int
	name     string
	typ      reflect.Type
	key      string // identifying field of the items, for lists that are merged
	unit     string
	def      string
	required bool
}

// schemas caches schemaOf by type: a file with 34,000 organisations asks for a few types many times.
var schemas sync.Map

// schemaOf lists the fields of a struct type that may be declared.
func schemaOf(t reflect.Type) []schemaField {
	if s, ok := schemas.Load(t); ok {
		return s.([]schemaField)
	}
	s := readSchema(t)
	schemas.Store(t, s)
	return s
}

func readSchema(t reflect.Type) []schemaField {
	var fields []schemaField
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := cutComma(f.Tag.Get("yaml"))
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, schemaField{
			index:    i,
			name:     name,
			typ:      f.Type,
			key:      f.Tag.Get("key"),
			unit:     f.Tag.Get("unit"),
			def:      f.Tag.Get("default"),
			required: f.Tag.Get("required") == "true",
		})
	}
	return fields
}

func schemaByName(t reflect.Type, name string) (schemaField, bool) {
	for _, f := range schemaOf(t) {
		if f.name == name {
			return f, true
		}
	}
	return schemaField{}, false
}

// checkDuplicates reports items of one file that share their identifying field. They would be merged silently.
func checkDuplicates(t reflect.Type, n *node, c *collector) {
	if n == nil || n.kind != yaml.MappingNode {
		return
	}
	for _, f := range n.fields {
		s, ok := schemaByName(t, f.name)
		if !ok || s.key == "" || f.value.kind != yaml.SequenceNode {
			continue
		}
		first := make(map[string]Position)
		for _, item := range f.value.items {
			checkDuplicates(s.typ.Elem(), item, c)
			id := item.text(s.key)
			if id == "" {
				continue
			}
			pos := item.at(s.key)
			if p, ok := first[id]; ok {
				c.add(pos, "duplicate: %s %q is already declared at %s", s.key, id, p)
				continue
			}
			first[id] = pos
		}
	}
}

// mergeMapping returns base changed by the fields of over. A null in the overlay takes a field back to its default.
func mergeMapping(t reflect.Type, base, over *node, c *collector) *node {
	if base.kind != yaml.MappingNode || over.kind != yaml.MappingNode {
		return over
	}
	merged := &node{pos: base.pos, kind: yaml.MappingNode}
	for _, f := range base.fields {
		o := over.field(f.name)
		switch {
		case o == nil:
			merged.fields = append(merged.fields, f)
		case o.value.isNull():
		default:
			merged.fields = append(merged.fields, mergeField(t, f, o, c))
		}
	}
	for _, o := range over.fields {
		if base.field(o.name) == nil {
			merged.fields = append(merged.fields, mergeField(t, nil, o, c))
		}
	}
	return merged
}

func mergeField(t reflect.Type, base, over *field, c *collector) *field {
	s, ok := schemaByName(t, over.name)
	if !ok {
		return over
	}
	value := over.value
	switch {
	case s.key != "" && value.kind == yaml.SequenceNode:
		list := &node{pos: value.pos, kind: yaml.SequenceNode}
		if base != nil && base.value.kind == yaml.SequenceNode {
			list = base.value
		}
		value = mergeList(s, list, value, c)
	case s.typ.Kind() == reflect.Struct && base != nil:
		value = mergeMapping(s.typ, base.value, value, c)
	}
	return &field{name: over.name, pos: over.pos, value: value}
}

// mergeList merges items by their identifying field: known ones are changed or removed, others are added at the end.
func mergeList(s schemaField, base, over *node, c *collector) *node {
	merged := &node{pos: base.pos, kind: yaml.SequenceNode}
	changes := make(map[string]*node, len(over.items))
	for _, item := range over.items {
		if id := item.text(s.key); id != "" {
			changes[id] = item
		}
	}
	known := make(map[string]bool, len(base.items))
	for _, item := range base.items {
		id := item.text(s.key)
		known[id] = true
		o, ok := changes[id]
		switch {
		case id == "" || !ok:
			merged.items = append(merged.items, item)
		case !removed(o, c):
			merged.items = append(merged.items, mergeMapping(s.typ.Elem(), item, o, c))
		}
	}
	for _, item := range over.items {
		id := item.text(s.key)
		if id != "" && known[id] {
			continue
		}
		if removed(item, c) {
			c.add(item.pos, "%q cannot be removed: it is not declared in an earlier file", id)
			continue
		}
		merged.items = append(merged.items, item)
	}
	return merged
}

// removed reports whether an overlay's item asks for removal. Such an item may have no other field.
func removed(item *node, c *collector) bool {
	f := item.field(removeField)
	if f == nil {
		return false
	}
	if f.value.kind != yaml.ScalarNode || f.value.yaml.Tag != "!!bool" || f.value.yaml.Value != "true" {
		c.add(f.value.pos, "%s must be true or absent", removeField)
		return true
	}
	if len(item.fields) > 2 {
		c.add(f.pos, "an item that is removed must have no other field than the one that identifies it")
	}
	return true
}
