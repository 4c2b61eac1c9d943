package config

import (
	"bytes"
	"io"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// node is a YAML value with its position. Merged trees hold nodes of several files.
type node struct {
	pos    Position
	yaml   *yaml.Node // of a scalar
	kind   yaml.Kind  // ScalarNode, MappingNode or SequenceNode
	fields []*field   // of a mapping, in file order
	items  []*node    // of a sequence
}

// field is an entry of a mapping.
type field struct {
	name  string
	pos   Position // of the name
	value *node
}

func (n *node) isNull() bool {
	return n.kind == yaml.ScalarNode && n.yaml.Tag == "!!null"
}

func (n *node) field(name string) *field {
	if n == nil {
		return nil
	}
	for _, f := range n.fields {
		if f.name == name {
			return f
		}
	}
	return nil
}

// text returns the text of a scalar field, or "".
func (n *node) text(name string) string {
	f := n.field(name)
	if f == nil || f.value.kind != yaml.ScalarNode {
		return ""
	}
	return f.value.yaml.Value
}

// at follows names and indexes and returns the position of the deepest node that exists.
func (n *node) at(path ...any) Position {
	pos := n.pos
	for _, step := range path {
		var next *node
		switch s := step.(type) {
		case string:
			if f := n.field(s); f != nil {
				next = f.value
			}
		case int:
			if s < len(n.items) {
				next = n.items[s]
			}
		}
		if next == nil {
			return pos
		}
		n, pos = next, next.pos
	}
	return pos
}

var yamlErrorLine = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?((?s:.*))$`)

// parseTree reads one YAML document. It returns nil if the syntax is wrong; an empty document is an empty mapping.
func parseTree(file string, data []byte, c *collector) *node {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return &node{pos: Position{file, 1, 1}, kind: yaml.MappingNode}
	}
	if err != nil {
		addSyntaxError(file, err, c)
		return nil
	}
	var second yaml.Node
	switch err := dec.Decode(&second); {
	case err == nil:
		c.add(Position{file, max(second.Line, 1), max(second.Column, 1)}, "the file holds a second YAML document; only one is read")
	case !errors.Is(err, io.EOF):
		addSyntaxError(file, err, c)
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) == 0 {
		return &node{pos: Position{file, 1, 1}, kind: yaml.MappingNode}
	}
	root := convert(file, doc.Content[0], c)
	if root.isNull() {
		return &node{pos: root.pos, kind: yaml.MappingNode}
	}
	return root
}

// parserFaults start the messages of the YAML parser, as opposed to its scanner. The library counts their lines from 0.
var parserFaults = regexp.MustCompile(`^(did not find expected (<|node content|'-' indicator|key|',' or)|found undefined tag handle|found (duplicate|incompatible) )`)

func addSyntaxError(file string, err error, c *collector) {
	m := yamlErrorLine.FindStringSubmatch(err.Error())
	line, _ := strconv.Atoi(m[1])
	if m[1] != "" && parserFaults.MatchString(m[2]) {
		line++
	}
	c.add(Position{file, max(line, 1), 1}, "YAML syntax: %s", m[2])
}

func convert(file string, y *yaml.Node, c *collector) *node {
	n := &node{pos: Position{file, y.Line, y.Column}, kind: y.Kind}
	switch y.Kind {
	case yaml.MappingNode:
		convertMapping(file, y, n, c)
	case yaml.SequenceNode:
		for _, item := range y.Content {
			n.items = append(n.items, convert(file, item, c))
		}
	case yaml.AliasNode:
		// Without aliases the size of the tree is bounded by the size of the file.
		c.add(n.pos, "aliases are not supported")
		n.kind, n.yaml = yaml.ScalarNode, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!null"}
	default:
		n.kind, n.yaml = yaml.ScalarNode, y
	}
	return n
}

func convertMapping(file string, y *yaml.Node, n *node, c *collector) {
	first := make(map[string]Position, len(y.Content)/2)
	for i := 0; i+1 < len(y.Content); i += 2 {
		k := y.Content[i]
		pos := Position{file, k.Line, k.Column}
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" {
			c.add(pos, "a field name must be a plain string")
			continue
		}
		if p, ok := first[k.Value]; ok {
			c.add(pos, "field %q is already set at %s", k.Value, p)
			continue
		}
		first[k.Value] = pos
		n.fields = append(n.fields, &field{name: k.Value, pos: pos, value: convert(file, y.Content[i+1], c)})
	}
}
