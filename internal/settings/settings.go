package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/yamlcheck"
)

// MaxFileBytes limits the size of a settings file.
const MaxFileBytes = 1 << 20

// Checker is implemented by settings types, which are structs. Check returns
// every problem found, each naming its field; see Problems.
type Checker interface {
	Check() error
}

// Load reads the YAML file at path into out, which holds the defaults, and
// checks it. The error lists every problem, with line and column if known.
func Load(path string, out Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("settings").Wrap(err)
	}
	if err := Decode(data, out); err != nil {
		return oops.In("settings").Wrapf(err, "%s", path)
	}
	return nil
}

// Decode parses data strictly into out and checks it. Fields are decoded
// separately, so that an error in one does not hide an error in another.
func Decode(data []byte, out Checker) error {
	if len(data) > MaxFileBytes {
		return fmt.Errorf("file is longer than %d bytes", MaxFileBytes)
	}
	values, err := parseTopLevel(data)
	if err != nil {
		return err
	}
	fields := map[string]reflect.Value{}
	collectFields(reflect.ValueOf(out).Elem(), fields)
	var problems []error
	failed := map[string]bool{}
	for _, value := range values {
		name := value.Key.GetToken().Value
		problem := decodeField(value, name, fields, failed)
		if problem != nil {
			problems = append(problems, problem)
		}
	}
	for _, problem := range splitErrors(out.Check()) {
		if !failed[fieldOf(problem)] {
			problems = append(problems, problem)
		}
	}
	return errors.Join(problems...)
}

// parseTopLevel parses data and returns the top-level fields of the document.
func parseTopLevel(data []byte) ([]*ast.MappingValueNode, error) {
	if err := yamlcheck.CheckDepth(data); err != nil {
		return nil, err
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, withPosition(err)
	}
	if len(file.Docs) > 1 {
		return nil, fmt.Errorf("file has %d YAML documents, must have one", len(file.Docs))
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return nil, nil
	}
	if err := rejectExtensions(file.Docs[0].Body); err != nil {
		return nil, err
	}
	switch body := file.Docs[0].Body.(type) {
	case *ast.MappingNode:
		return body.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{body}, nil
	case *ast.CommentGroupNode:
		return nil, nil
	}
	return nil, errors.New("file is not a list of fields such as \"instance: a\"")
}

// extensionFinder finds YAML features that are not allowed in settings.
type extensionFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *extensionFinder) Visit(n ast.Node) ast.Visitor {
	switch n.Type() {
	case ast.AliasType, ast.AnchorType, ast.MergeKeyType, ast.TagType:
		f.found = n
		return nil
	}
	return f
}

// rejectExtensions rejects anchors, aliases and merge keys, by which a short file can
// expand into a large one, and tags, some of which make the decoder panic.
func rejectExtensions(body ast.Node) error {
	f := &extensionFinder{}
	ast.Walk(f, body)
	if f.found == nil {
		return nil
	}
	problem := errors.New("anchors, aliases, merge keys and tags are not allowed")
	if token := f.found.GetToken(); token != nil && token.Position != nil {
		return fmt.Errorf("line %d, column %d: %w", token.Position.Line, token.Position.Column, problem)
	}
	return problem
}

// collectFields maps the YAML names of a struct's fields to their values.
func collectFields(structure reflect.Value, fields map[string]reflect.Value) {
	for i := range structure.NumField() {
		field := structure.Type().Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			collectFields(structure.Field(i), fields)
		case name == "-" || !field.IsExported():
		case name == "":
			fields[strings.ToLower(field.Name)] = structure.Field(i)
		default:
			fields[name] = structure.Field(i)
		}
	}
}

// decodeField decodes one field and adds its name to failed if its value is invalid.
func decodeField(value *ast.MappingValueNode, name string, fields map[string]reflect.Value, failed map[string]bool) error {
	position := value.Key.GetToken().Position
	field, known := fields[name]
	if !known {
		return fmt.Errorf("line %d, column %d: %s: unknown field", position.Line, position.Column, name)
	}
	if problem := checkLossyNumbers(value.Value, field.Type()); problem != nil {
		failed[name] = true
		at := value.Value.GetToken().Position
		return fmt.Errorf("line %d, column %d: %s: %w", at.Line, at.Column, name, problem)
	}
	err := yaml.NodeToValue(value.Value, field.Addr().Interface(), yaml.Strict())
	if err == nil {
		return nil
	}
	failed[name] = true
	if token := value.Value.GetToken(); token != nil && token.Position != nil {
		position = token.Position
	}
	_, detail, isMismatch := yamlcheck.DescribeTypeError(err)
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		if token := syntax.GetToken(); token != nil && token.Position != nil {
			position = token.Position
		}
		err = errors.New(syntax.GetMessage())
	}
	if isMismatch {
		err = errors.New(detail)
	}
	return fmt.Errorf("line %d, column %d: %s: %w", position.Line, position.Column, name, err)
}

// checkLossyNumbers rejects numbers that the decoder would change: it would truncate
// a float for an integer field, and rewrite the digits of a number for a string field.
func checkLossyNumbers(value ast.Node, target reflect.Type) error {
	kind := target.Kind()
	if kind == reflect.Slice || kind == reflect.Map {
		kind = target.Elem().Kind()
	}
	switch kind {
	case reflect.Int, reflect.Int64, reflect.Uint64:
		if yamlcheck.IsFloat(value) {
			return errors.New("must be a whole number, not " + value.String())
		}
	case reflect.String:
		if number := yamlcheck.FindLossyNumber(value); number != nil {
			return number
		}
	}
	return nil
}

// withPosition formats a syntax error in one line, with its position if known.
func withPosition(err error) error {
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		if token := syntax.GetToken(); token != nil && token.Position != nil {
			return fmt.Errorf("line %d, column %d: %s", token.Position.Line, token.Position.Column, syntax.GetMessage())
		}
		return errors.New(syntax.GetMessage())
	}
	return err
}

// splitErrors returns the errors that err joins, or err itself.
func splitErrors(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// fieldOf returns the top-level field at the start of the text of a problem.
func fieldOf(problem error) string {
	text := problem.Error()
	if end := strings.IndexAny(text, ":.["); end >= 0 {
		return text[:end]
	}
	return text
}
