package config

import (
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

var durationType = reflect.TypeFor[time.Duration]()

func cutComma(tag string) (before, after string, found bool) { return strings.Cut(tag, ",") }

// decodeStruct fills v from a mapping and reports unknown, missing and wrong fields.
func decodeStruct(n *node, v reflect.Value, c *collector) {
	if n.kind != yaml.MappingNode {
		c.add(n.pos, "must be a mapping of fields, found %s", describe(n))
		return
	}
	schema := schemaOf(v.Type())
	declared := make(map[string]bool, len(n.fields))
	for _, f := range n.fields {
		s, ok := schemaByName(v.Type(), f.name)
		if !ok {
			addUnknownField(f, schema, c)
			continue
		}
		if f.value.isNull() {
			continue
		}
		declared[f.name] = true
		decodeValue(s, f.name, f.value, v.Field(s.index), c)
	}
	for _, s := range schema {
		if declared[s.name] {
			continue
		}
		if s.required {
			c.add(n.pos, "field %q is missing", s.name)
		}
		if s.def != "" {
			setDefault(s, v.Field(s.index))
		}
	}
}

func addUnknownField(f *field, schema []schemaField, c *collector) {
	if f.name == removeField {
		c.add(f.pos, "field %q is allowed only in an overlay", f.name)
		return
	}
	names := make([]string, len(schema))
	for i, s := range schema {
		names[i] = s.name
	}
	sort.Strings(names)
	if near := nearest(f.name, names); near != "" {
		c.add(f.pos, "unknown field %q, did you mean %q?", f.name, near)
		return
	}
	c.add(f.pos, "unknown field %q; known fields: %s", f.name, strings.Join(names, ", "))
}

func setDefault(s schemaField, v reflect.Value) {
	n := &node{kind: yaml.ScalarNode, yaml: &yaml.Node{Kind: yaml.ScalarNode, Value: s.def}}
	n.yaml.Tag = n.yaml.ShortTag()
	decodeValue(s, s.name, n, v, newCollector())
}

func decodeValue(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	switch {
	case v.Type() == durationType:
		decodeDuration(name, n, v, c)
	case v.Kind() == reflect.Struct:
		decodeStruct(n, v, c)
	case v.Kind() == reflect.Slice:
		decodeList(s, name, n, v, c)
	case v.Kind() == reflect.Map:
		decodeMap(s, name, n, v, c)
	default:
		decodeScalar(s, name, n, v, c)
	}
}

func decodeList(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	if n.kind != yaml.SequenceNode {
		c.add(n.pos, "%s must be a list, found %s", name, describe(n))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		decodeValue(schemaField{unit: s.unit}, name, item, list.Index(i), c)
	}
	v.Set(list)
}

func decodeMap(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	if n.kind != yaml.MappingNode {
		c.add(n.pos, "%s must be a mapping, found %s", name, describe(n))
		return
	}
	m := reflect.MakeMapWithSize(v.Type(), len(n.fields))
	for _, f := range n.fields {
		e := reflect.New(v.Type().Elem()).Elem()
		decodeValue(schemaField{unit: s.unit}, name, f.value, e, c)
		m.SetMapIndex(reflect.ValueOf(f.name), e)
	}
	v.Set(m)
}

func decodeScalar(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	if n.kind != yaml.ScalarNode {
		c.add(n.pos, "%s must be a single value, found %s", name, describe(n))
		return
	}
	tag, text := n.yaml.Tag, n.yaml.Value
	switch v.Kind() {
	case reflect.String:
		if tag != "!!str" {
			c.add(n.pos, "%s must be a string, found %s; put it in quotes", name, describe(n))
			return
		}
		v.SetString(text)
	case reflect.Bool:
		if tag != "!!bool" {
			c.add(n.pos, "%s must be true or false, found %s", name, describe(n))
			return
		}
		v.SetBool(strings.EqualFold(text, "true"))
	case reflect.Int, reflect.Int64:
		decodeInt(s, name, n, v, c)
	case reflect.Float64:
		decodeFloat(s, name, n, v, c)
	}
}

func decodeInt(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	if s.unit == "bytes" && n.yaml.Tag == "!!str" {
		bytes, ok := parseBytes(n.yaml.Value)
		if !ok {
			c.add(n.pos, "%s must be a number of bytes, with kB, MB, KiB or MiB if it has a unit, found %s", name, describe(n))
			return
		}
		v.SetInt(bytes)
		return
	}
	var i int64
	if n.yaml.Tag != "!!int" || n.yaml.Decode(&i) != nil {
		c.add(n.pos, "%s must be a whole number%s, found %s", name, inUnit(s.unit), describe(n))
		return
	}
	v.SetInt(i)
}

func decodeFloat(s schemaField, name string, n *node, v reflect.Value, c *collector) {
	var f float64
	numeric := n.yaml.Tag == "!!int" || n.yaml.Tag == "!!float"
	if !numeric || n.yaml.Decode(&f) != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		c.add(n.pos, "%s must be a plain finite number%s, found %s", name, inUnit(s.unit), describe(n))
		return
	}
	v.SetFloat(f)
}

func decodeDuration(name string, n *node, v reflect.Value, c *collector) {
	if n.kind != yaml.ScalarNode {
		c.add(n.pos, "%s must be a duration such as 30s, found %s", name, describe(n))
		return
	}
	if n.yaml.Tag == "!!int" || n.yaml.Tag == "!!float" {
		c.add(n.pos, "%s has no unit: write %ss or %sms", name, n.yaml.Value, n.yaml.Value)
		return
	}
	d, err := time.ParseDuration(n.yaml.Value)
	if err != nil {
		c.add(n.pos, "%s must be a duration such as 500ms, 30s or 2m, found %s", name, describe(n))
		return
	}
	v.SetInt(int64(d))
}

// byteUnits are tried in this order, so that a longer suffix comes before its own ending.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"kB", 1000}, {"MB", 1000 * 1000}, {"B", 1}}

func parseBytes(text string) (int64, bool) {
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			return 0, false
		}
		return n * u.bytes, true
	}
	return 0, false
}

func inUnit(unit string) string {
	if unit == "" {
		return ""
	}
	return " in " + unit
}

func describe(n *node) string {
	switch n.kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch n.yaml.Tag {
	case "!!null":
		return "nothing"
	case "!!int", "!!float":
		return "the number " + n.yaml.Value
	case "!!bool":
		return "the truth value " + n.yaml.Value
	}
	return strconv.Quote(n.yaml.Value)
}

// nearest returns the candidate within two edits of name, or "".
func nearest(name string, candidates []string) string {
	best, bestDistance := "", 3
	for _, c := range candidates {
		if d := editDistance(name, c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
