package release

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/rhubarbhill/rhubarbhill/internal/yamlcheck"
)

// Limits on a note.
const (
	MaxNoteBytes   = 256 << 10
	MaxNoteChanges = 1000
)

// Note is a parsed release note: a numbered set of changes to the catalogue. It
// is identified by its number and the digest of its canonical form.
type Note struct {
	Number   uint64         `yaml:"note" json:"note"`
	Models   ModelChanges   `yaml:"models" json:"models"`
	Adapters AdapterChanges `yaml:"adapters" json:"adapters"`
}

// ModelChanges lists the changes of a note to models.
type ModelChanges struct {
	Add      []ModelSpec `yaml:"add" json:"add,omitempty"`
	Change   []ModelSpec `yaml:"change" json:"change,omitempty"`
	Withdraw []Reference `yaml:"withdraw" json:"withdraw,omitempty"`
}

// ModelSpec describes an added or changed model. A changed model without Replicas
// keeps its role.
type ModelSpec struct {
	Name     string    `yaml:"name" json:"name"`
	Version  string    `yaml:"version" json:"version"`
	Manifest Digest    `yaml:"manifest" json:"manifest"`
	Replicas *Replicas `yaml:"replicas" json:"replicas,omitempty"`
}

// Replicas selects the endpoints that serve a model.
type Replicas struct {
	Role string `yaml:"role" json:"role"`
}

// AdapterChanges lists the changes of a note to adapters.
type AdapterChanges struct {
	Add      []AdapterSpec `yaml:"add" json:"add,omitempty"`
	Change   []AdapterSpec `yaml:"change" json:"change,omitempty"`
	Withdraw []Reference   `yaml:"withdraw" json:"withdraw,omitempty"`
}

// AdapterSpec describes an added or changed adapter. A changed adapter without
// Base keeps its base model.
type AdapterSpec struct {
	Name     string `yaml:"name" json:"name"`
	Base     string `yaml:"base" json:"base,omitempty"`
	Version  string `yaml:"version" json:"version"`
	Manifest Digest `yaml:"manifest" json:"manifest"`
}

// Reference refers to a model or adapter by name.
type Reference struct {
	Name string `yaml:"name" json:"name"`
}

// Problem is an error in a note. Line is 0 when the position is not known, as for
// a note that was not parsed from YAML.
type Problem struct {
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Field  string `json:"field"`
	Detail string `json:"detail"`
}

// Error implements the error interface.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Field, p.Detail)
	}
	return fmt.Sprintf("line %d, column %d, %s: %s", p.Line, p.Column, p.Field, p.Detail)
}

// InvalidError lists the problems found in a note.
type InvalidError struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Problems returns the problems of an *InvalidError, or the text of any other
// error as a single problem.
func Problems(err error) []Problem {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return []Problem{{Field: "note", Detail: err.Error()}}
}

// Document is a note with its parsed source, which gives problems their
// positions.
type Document struct {
	Note Note
	file *ast.File
}

// Parse parses a note from YAML, refusing unknown fields, and validates what does
// not depend on the catalogue. Document.Check and Apply validate the rest.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxNoteBytes {
		return nil, singleProblem("note", fmt.Sprintf("is longer than %d bytes", MaxNoteBytes))
	}
	if err := yamlcheck.CheckDepth(data); err != nil {
		return nil, singleProblem("note", err.Error())
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxProblem(err)
	}
	if len(file.Docs) != 1 {
		return nil, singleProblem("note", fmt.Sprintf("must be one YAML document, found %d", len(file.Docs)))
	}
	if err := refuseAliases(file.Docs[0]); err != nil {
		return nil, err
	}
	doc := &Document{file: file}
	if err := doc.checkNumbers(); err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&doc.Note); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, singleProblem("note", "is empty")
		}
		return nil, syntaxProblem(err)
	}
	if problems := doc.Note.problems(); len(problems) > 0 {
		return nil, &InvalidError{Problems: doc.locate(problems)}
	}
	return doc, nil
}

// checkNumbers refuses numbers that the YAML decoder would convert to another
// value.
func (d *Document) checkNumbers() error {
	if number := d.node("note"); number != nil && yamlcheck.IsFloat(number) {
		problems := []Problem{{Field: "note", Detail: "must be a whole number, not " + number.String()}}
		return &InvalidError{Problems: d.locate(problems)}
	}
	if n := yamlcheck.FindLossyNumber(d.file.Docs[0].Body); n != nil {
		p := Problem{Line: n.Token.Position.Line, Column: n.Token.Position.Column, Field: cmp.Or(n.Field, "note"), Detail: n.Error()}
		return &InvalidError{Problems: []Problem{p}}
	}
	return nil
}

// Check validates the note against c, like Apply, and adds source positions to
// the problems.
func (d *Document) Check(c Catalogue) error {
	_, _, err := Apply(d.Note, c)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return &InvalidError{Problems: d.locate(invalid.Problems)}
	}
	return err
}

func singleProblem(field, detail string) error {
	return &InvalidError{Problems: []Problem{{Field: field, Detail: detail}}}
}

func syntaxProblem(err error) error {
	p := Problem{Field: "note", Detail: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		p.Detail = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			p.Line, p.Column, p.Field = token.Position.Line, token.Position.Column, token.Value
		}
	}
	if field, detail, ok := yamlcheck.DescribeTypeError(err); ok {
		p.Field, p.Detail = cmp.Or(field, "note"), detail
	}
	return &InvalidError{Problems: []Problem{p}}
}

type aliasFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *aliasFinder) Visit(n ast.Node) ast.Visitor {
	if f.found != nil {
		return nil
	}
	switch n.Type() {
	case ast.AliasType, ast.AnchorType, ast.MergeKeyType, ast.TagType:
		f.found = n
		return nil
	}
	return f
}

// refuseAliases refuses anchors, aliases, merge keys and tags, with which a short
// note could expand into a large one.
func refuseAliases(doc *ast.DocumentNode) error {
	if doc.Body == nil {
		return singleProblem("note", "is empty")
	}
	f := &aliasFinder{}
	ast.Walk(f, doc.Body)
	if f.found == nil {
		return nil
	}
	p := Problem{Field: "note", Detail: "anchors, aliases, merge keys and tags are not allowed"}
	if t := f.found.GetToken(); t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	return &InvalidError{Problems: []Problem{p}}
}

// locate adds to each problem the source position of its field, or of the nearest
// parent in the source.
func (d *Document) locate(problems []Problem) []Problem {
	for i := range problems {
		field := problems[i].Field
		for field != "" && problems[i].Line == 0 {
			problems[i].Line, problems[i].Column = d.position(field)
			field = field[:max(strings.LastIndexAny(field, ".["), 0)]
		}
	}
	return problems
}

func (d *Document) position(field string) (line, column int) {
	node := d.node(field)
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0, 0
	}
	return node.GetToken().Position.Line, node.GetToken().Position.Column
}

// node returns the node of a field, or nil if the field is missing.
func (d *Document) node(field string) ast.Node {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return nil
	}
	node, err := path.FilterFile(d.file)
	if err != nil {
		return nil
	}
	return node
}

// Canonical returns the canonical form: JSON with a fixed order of fields and with
// lists sorted by name. Notes that differ only in layout have the same one.
func (n Note) Canonical() []byte {
	byModel := func(a, b ModelSpec) int { return strings.Compare(a.Name, b.Name) }
	byAdapter := func(a, b AdapterSpec) int { return strings.Compare(a.Name, b.Name) }
	byName := func(a, b Reference) int { return strings.Compare(a.Name, b.Name) }
	sorted := Note{Number: n.Number}
	sorted.Models.Add = slices.SortedFunc(slices.Values(n.Models.Add), byModel)
	sorted.Models.Change = slices.SortedFunc(slices.Values(n.Models.Change), byModel)
	sorted.Models.Withdraw = slices.SortedFunc(slices.Values(n.Models.Withdraw), byName)
	sorted.Adapters.Add = slices.SortedFunc(slices.Values(n.Adapters.Add), byAdapter)
	sorted.Adapters.Change = slices.SortedFunc(slices.Values(n.Adapters.Change), byAdapter)
	sorted.Adapters.Withdraw = slices.SortedFunc(slices.Values(n.Adapters.Withdraw), byName)
	data, err := json.Marshal(sorted)
	if err != nil {
		panic(err) // a Note always marshals
	}
	return data
}

// Digest returns the digest of the canonical form.
func (n Note) Digest() Digest { return DigestOf(n.Canonical()) }

// ParseCanonical parses and validates the output of Canonical. It refuses any
// other encoding of a note.
func ParseCanonical(data []byte) (Note, error) {
	var n Note
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&n); err != nil {
		return Note{}, singleProblem("note", err.Error())
	}
	if problems := n.problems(); len(problems) > 0 {
		return Note{}, &InvalidError{Problems: problems}
	}
	if !bytes.Equal(n.Canonical(), data) {
		return Note{}, singleProblem("note", "is not in canonical form")
	}
	return n, nil
}

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	versionPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,62}$`)
	manifestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// checker collects problems by field path. seen maps each name in the note to the
// path where it first occurs.
type checker struct {
	problems []Problem
	seen     map[string]string
}

func (k *checker) add(field, format string, args ...any) {
	k.problems = append(k.problems, Problem{Field: field, Detail: fmt.Sprintf(format, args...)})
}

func (k *checker) checkPattern(field, value string, pattern *regexp.Regexp) {
	switch {
	case value == "":
		k.add(field, "is required")
	case !pattern.MatchString(value):
		k.add(field, "%q does not match %s", value, pattern)
	}
}

// checkName checks the format of a name and that it occurs only once in the note.
// Models and adapters share a namespace, because callers address both by name.
func (k *checker) checkName(field, value string) {
	k.checkPattern(field, value, namePattern)
	if first, ok := k.seen[value]; ok {
		k.add(field, "%q is already named at %s", value, first)
		return
	}
	k.seen[value] = field
}

// problems validates what does not depend on the catalogue.
func (n Note) problems() []Problem {
	k := &checker{seen: map[string]string{}}
	if n.Number == 0 {
		k.add("note", "number must be 1 or more")
	}
	total := len(n.Models.Add) + len(n.Models.Change) + len(n.Models.Withdraw) +
		len(n.Adapters.Add) + len(n.Adapters.Change) + len(n.Adapters.Withdraw)
	if total == 0 {
		k.add("note", "changes nothing")
	}
	if total > MaxNoteChanges {
		k.add("note", "has %d changes; at most %d are allowed", total, MaxNoteChanges)
		return k.problems
	}
	k.models("models.add", n.Models.Add, true)
	k.models("models.change", n.Models.Change, false)
	k.references("models.withdraw", n.Models.Withdraw)
	k.adapters("adapters.add", n.Adapters.Add, true)
	k.adapters("adapters.change", n.Adapters.Change, false)
	k.references("adapters.withdraw", n.Adapters.Withdraw)
	return k.problems
}

func (k *checker) models(list string, specs []ModelSpec, added bool) {
	for i, m := range specs {
		at := fmt.Sprintf("%s[%d].", list, i)
		k.checkName(at+"name", m.Name)
		k.checkPattern(at+"version", m.Version, versionPattern)
		k.checkPattern(at+"manifest", string(m.Manifest), manifestPattern)
		switch {
		case m.Replicas != nil:
			k.checkPattern(at+"replicas.role", m.Replicas.Role, namePattern)
		case added:
			k.add(at+"replicas", "is required")
		}
	}
}

func (k *checker) adapters(list string, specs []AdapterSpec, added bool) {
	for i, a := range specs {
		at := fmt.Sprintf("%s[%d].", list, i)
		k.checkName(at+"name", a.Name)
		k.checkPattern(at+"version", a.Version, versionPattern)
		k.checkPattern(at+"manifest", string(a.Manifest), manifestPattern)
		if added || a.Base != "" {
			k.checkPattern(at+"base", a.Base, namePattern)
		}
	}
}

func (k *checker) references(list string, refs []Reference) {
	for i, r := range refs {
		k.checkName(fmt.Sprintf("%s[%d].name", list, i), r.Name)
	}
}
