// Package reference writes the reference page of the configuration file from the source of its model.
package reference

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const intro = `# Configuration file

This page is generated from internal/config/model.go by ` + "`go generate ./internal/config`" + `. Do not edit it.

A configuration is one base file and any number of overlays. An overlay names only what differs:

- Items of the lists marked "merged by" are matched by that field. A matched item is changed field by field, an unknown one
  is added, and one with ` + "`remove: true`" + ` is removed.
- All other values, lists and splits among them, are replaced as a whole.
- ` + "`null`" + ` takes a field back to its default.

Aliases are not supported. ` + "`dogwoodctl check`" + ` reports every fault with file, line and column.
`

// structDoc is a struct type of the model.
type structDoc struct {
	name   string
	doc    string
	fields []fieldDoc
}

type fieldDoc struct {
	name string // in YAML
	typ  string // in Go
	tag  reflect.StructTag
	doc  string
}

// Page returns the reference page for the model in a source file.
func Page(source string) ([]byte, error) {
	file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "parse the model")
	}
	structs := readStructs(file)
	var b bytes.Buffer
	b.WriteString(intro)
	if err := writeSection(&b, structs, "Config", "", make(map[string]bool)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func readStructs(file *ast.File) map[string]*structDoc {
	structs := make(map[string]*structDoc)
	for _, decl := range file.Decls {
		gen, ok := decl.(*ast.GenDecl)
		if !ok || gen.Tok != token.TYPE {
			continue
		}
		for _, spec := range gen.Specs {
			t := spec.(*ast.TypeSpec)
			if s, ok := t.Type.(*ast.StructType); ok {
				structs[t.Name.Name] = &structDoc{name: t.Name.Name, doc: oneLine(gen.Doc), fields: readFields(s)}
			}
		}
	}
	return structs
}

func readFields(s *ast.StructType) []fieldDoc {
	var fields []fieldDoc
	for _, f := range s.Fields.List {
		if f.Tag == nil || len(f.Names) == 0 {
			continue
		}
		text, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			continue
		}
		tag := reflect.StructTag(text)
		name, _, _ := strings.Cut(tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, fieldDoc{name: name, typ: typeName(f.Type), tag: tag, doc: oneLine(f.Doc)})
	}
	return fields
}

func oneLine(doc *ast.CommentGroup) string {
	return strings.Join(strings.Fields(doc.Text()), " ")
}

// typeName returns a type as it is written in Go.
func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.Ident:
		return t.Name
	case *ast.ArrayType:
		return "[]" + typeName(t.Elt)
	case *ast.MapType:
		return "map[" + typeName(t.Key) + "]" + typeName(t.Value)
	case *ast.SelectorExpr:
		return typeName(t.X) + "." + t.Sel.Name
	}
	return ""
}

func writeSection(b *bytes.Buffer, structs map[string]*structDoc, name, path string, done map[string]bool) error {
	s := structs[name]
	if s == nil {
		return errors.Newf("type %s is not declared in the model", name)
	}
	if done[name] {
		return nil
	}
	done[name] = true
	title := "Top level"
	doc := ""
	if path != "" {
		title, doc = "`"+path+"`", s.doc
	}
	fmt.Fprintf(b, "\n## %s\n\n", title)
	if doc != "" {
		fmt.Fprintf(b, "%s\n\n", doc)
	}
	b.WriteString("| field | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, f := range s.fields {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", f.name, f.yamlType(structs), f.defaultText(), f.doc)
	}
	for _, f := range s.fields {
		element := strings.TrimPrefix(f.typ, "[]")
		if structs[element] == nil {
			continue
		}
		next := f.name
		if path != "" {
			next = path + "." + f.name
		}
		if strings.HasPrefix(f.typ, "[]") {
			next += "[]"
		}
		if err := writeSection(b, structs, element, next, done); err != nil {
			return err
		}
	}
	return nil
}

// yamlType describes the type for writers of YAML.
func (f fieldDoc) yamlType(structs map[string]*structDoc) string {
	element, isList := strings.CutPrefix(f.typ, "[]")
	text := scalarType(element)
	if structs[element] != nil {
		text = "mapping"
	}
	if isList {
		text = "list of " + text + "s"
	}
	if unit := f.tag.Get("unit"); unit != "" && unit != "duration" {
		text += ", " + unit
	}
	if key := f.tag.Get("key"); key != "" {
		text += ", merged by `" + key + "`"
	}
	return text
}

func scalarType(goType string) string {
	switch goType {
	case "int", "int64":
		return "whole number"
	case "float64":
		return "number"
	case "bool":
		return "boolean"
	case "time.Duration":
		return "duration"
	case "map[string]float64":
		return "mapping of region to number"
	}
	return "string"
}

func (f fieldDoc) defaultText() string {
	switch {
	case f.tag.Get("required") == "true":
		return "required"
	case f.tag.Get("default") != "":
		return "`" + f.tag.Get("default") + "`"
	case f.typ == "bool":
		return "`false`"
	}
	return "empty"
}
