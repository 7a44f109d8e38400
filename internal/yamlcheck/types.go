package yamlcheck

import (
	"errors"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// DescribeTypeError describes, in YAML terms, a decoder error about a value of the
// wrong type or out of range. field is the key directly before the value, if any.
// ok is false for other errors.
func DescribeTypeError(err error) (field, detail string, ok bool) {
	var typeErr *yaml.TypeError
	var overflowErr *yaml.OverflowError
	var nodeErr *yaml.UnexpectedNodeTypeError
	switch {
	case errors.As(err, &typeErr):
		return keyOf(typeErr.Token), "must be " + typeName(typeErr.DstType) + ", not " + typeName(typeErr.SrcType), true
	case errors.As(err, &overflowErr):
		return keyOf(overflowErr.Token), overflowErr.SrcNum + " is out of range", true
	case errors.As(err, &nodeErr):
		return keyOf(nodeErr.Token), "must be " + nodeName(nodeErr.Expected) + ", not " + nodeName(nodeErr.Actual), true
	}
	return "", "", false
}

// IsFloat reports whether a value is a float. The decoder truncates a float that is
// given for an integer.
func IsFloat(value ast.Node) bool { return value.Type() == ast.FloatType }

func nodeName(t ast.NodeType) string {
	switch t {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.StringType, ast.LiteralType:
		return "text"
	case ast.IntegerType, ast.FloatType:
		return "a number"
	case ast.BoolType:
		return "true or false"
	case ast.NullType:
		return "empty"
	}
	return t.YAMLName()
}

// keyOf returns the key directly before a value, or "".
func keyOf(value *token.Token) string {
	if value == nil || value.Prev == nil || value.Prev.Type != token.MappingValueType || value.Prev.Prev == nil {
		return ""
	}
	return value.Prev.Prev.Value
}

func typeName(t reflect.Type) string {
	if t == nil {
		return "empty"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Map, reflect.Struct:
		return "a mapping"
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
