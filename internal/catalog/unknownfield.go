package catalog

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// unknownFieldMessage describes a field that out does not have and lists the fields
// that are allowed there. ok is false for other kinds of errors.
func unknownFieldMessage(err error, data []byte, out any) (message string, ok bool) {
	var unknown *yaml.UnknownFieldError
	if !errors.As(err, &unknown) {
		return "", false
	}
	at := unknown.GetToken()
	path := pathOf(data, at)
	message = fmt.Sprintf("line %d: unknown field %s", at.Position.Line, path)
	if names := fieldsAt(reflect.TypeOf(out), path); len(names) > 0 {
		message += ": want one of " + strings.Join(names, ", ")
	}
	return message, true
}

// pathOf returns the path of the key at a token, for example classes[0].weight.
func pathOf(data []byte, at *token.Token) string {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return at.Value
	}
	locator := &keyLocator{at: at.Position}
	for _, d := range file.Docs {
		ast.Walk(locator, d.Body)
	}
	if locator.path == "" {
		return at.Value
	}
	return locator.path
}

// keyLocator finds the path of the mapping key at a position.
type keyLocator struct {
	at   *token.Position
	path string
}

// Visit implements ast.Visitor.
func (k *keyLocator) Visit(n ast.Node) ast.Visitor {
	if v, ok := n.(*ast.MappingValueNode); ok {
		p := v.Key.GetToken().Position
		if p.Line == k.at.Line && p.Column == k.at.Column {
			k.path = strings.TrimPrefix(v.Key.GetPath(), "$.")
		}
	}
	return k
}

// fieldsAt returns the YAML names of the fields of the struct that contains the last
// element of path.
func fieldsAt(t reflect.Type, path string) []string {
	elements := strings.Split(path, ".")
	for _, e := range elements[:len(elements)-1] {
		name, _, _ := strings.Cut(e, "[")
		if t = fieldType(structOf(t), name); t == nil {
			return nil
		}
	}
	var names []string
	if t = structOf(t); t != nil {
		for f := range t.NumField() {
			names = append(names, yamlName(t.Field(f)))
		}
	}
	slices.Sort(names)
	return names
}

// structOf strips pointers, slices and maps from t and returns the struct type, or
// nil if there is none.
func structOf(t reflect.Type) reflect.Type {
	for t != nil && slices.Contains([]reflect.Kind{reflect.Pointer, reflect.Slice, reflect.Map}, t.Kind()) {
		t = t.Elem()
	}
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	return t
}

func fieldType(t reflect.Type, name string) reflect.Type {
	if t == nil {
		return nil
	}
	for i := range t.NumField() {
		if yamlName(t.Field(i)) == name {
			return t.Field(i).Type
		}
	}
	return nil
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
