package release

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const manifestDigest = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const firstNote = `note: 1
models:
  add:
    - name: quote-large
      version: "2"
      manifest: ` + manifestDigest + `
      replicas: {role: quote}
adapters:
  add:
    - name: council
      base: quote-large
      version: "1"
      manifest: ` + manifestDigest + "\n"

// Guards against a note whose digest depends on layout, comments or order.
func TestCanonicalFormIgnoresLayout(t *testing.T) {
	is := is.New(t)
	a, err := Parse([]byte("note: 2 # comment\nmodels:\n  withdraw: [{name: b}, {name: a}]\n"))
	is.NoErr(err)
	b, err := Parse([]byte("models:\n  withdraw:\n  - name: a\n  - {name: \"b\"}\nnote: 2\n"))
	is.NoErr(err)
	is.Equal(a.Note.Digest(), b.Note.Digest())
	again, err := ParseCanonical(a.Note.Canonical())
	is.NoErr(err)
	is.Equal(again.Digest(), a.Note.Digest())
	_, err = ParseCanonical(append(a.Note.Canonical(), ' '))
	is.True(err != nil)
}

// Guards against accepting an invalid note, and against errors without the line
// and field.
func TestFaultyNotesNameLineAndField(t *testing.T) {
	base, err := Parse([]byte(firstNote))
	if err != nil {
		t.Fatal(err)
	}
	catalogue, _, err := Apply(base.Note, NewCatalogue())
	if err != nil {
		t.Fatal(err)
	}
	model := "    - name: %s\n      version: \"3\"\n      manifest: " + manifestDigest + "\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":       {"note: 2\nmodels:\n  remove: []\n", "line 3"},
		"duplicate key":       {"note: 2\nnote: 3\n", "line 2"},
		"not YAML":            {"note: [\n", "line 1"},
		"two documents":       {"note: 2\n---\nnote: 3\n", "one YAML document"},
		"alias":               {"note: 2\nmodels:\n  withdraw: &x [{name: a}]\nadapters:\n  withdraw: *x\n", "line 3"},
		"empty":               {"", "is empty"},
		"changes nothing":     {"note: 2\n", "changes nothing"},
		"bad manifest":        {"note: 2\nmodels:\n  change:\n    - name: quote-large\n      version: \"3\"\n      manifest: sha256:xy\n", "line 6, column 17, models.change[0].manifest"},
		"no role":             {fmt.Sprintf("note: 2\nmodels:\n  add:\n"+model, "new"), "models.add[0].replicas: is required"},
		"named twice":         {"note: 2\nmodels:\n  withdraw: [{name: a}, {name: a}]\n", "line 3"},
		"wrong number":        {fmt.Sprintf("note: 5\nmodels:\n  change:\n"+model, "quote-large"), "line 1, column 7, note: number must be 2"},
		"change of unknown":   {fmt.Sprintf("note: 2\nmodels:\n  change:\n"+model, "nothing"), "line 4, column 13, models.change[0].name"},
		"base withdrawn":      {"note: 2\nmodels:\n  withdraw:\n    - name: quote-large\n", "line 4, column 13, models.withdraw[0].name"},
		"adapter as model":    {"note: 2\nmodels:\n  withdraw: [{name: council}]\n", "no model \"council\""},
		"add of existing":     {strings.Replace(firstNote, "note: 1", "note: 2", 1), "exists already"},
		"base does not exist": {"note: 2\nadapters:\n  change:\n    - {name: council, base: gone, version: \"1\", manifest: " + manifestDigest + "}\n", "adapters.change[0].base"},
	} {
		t.Run(name, func(t *testing.T) {
			doc, err := Parse([]byte(c.text))
			if err == nil {
				err = doc.Check(catalogue)
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want it to contain %q", err, c.want)
			}
		})
	}
}

// Guards against a delta whose result differs from that of the note.
func TestDeltaReproducesTheCatalogue(t *testing.T) {
	is := is.New(t)
	base, err := Parse([]byte(firstNote))
	is.NoErr(err)
	one, d1, err := Apply(base.Note, NewCatalogue())
	is.NoErr(err)
	change, err := Parse([]byte("note: 2\nmodels:\n  change:\n    - name: quote-large\n      version: \"3\"\n      manifest: " + manifestDigest + "\nadapters:\n  withdraw: [{name: council}]\n"))
	is.NoErr(err)
	two, d2, err := Apply(change.Note, one)
	is.NoErr(err)
	is.Equal(two.Models["quote-large"].Role, "quote") // a change without replicas keeps the role
	got, err := d1.Apply(NewCatalogue())
	is.NoErr(err)
	got, err = d2.Apply(got)
	is.NoErr(err)
	is.Equal(got.Digest(), two.Digest())
	_, err = d2.Apply(NewCatalogue())
	is.True(err != nil)
	is.Equal(len(one.Adapters), 1) // Apply does not modify its input
}

// Guards against a deeply nested note within the size limit, whose parsing would
// occupy a replica for minutes.
func TestNestingIsBounded(t *testing.T) {
	_, err := Parse([]byte("note: " + strings.Repeat("[", 10_000)))
	is.New(t).True(err != nil && strings.Contains(err.Error(), "nested deeper"))
}

// Guards against type errors without the field name, or with names of Go types.
func TestTypeErrorsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		"note: two\n":                          "line 1, column 7, note: must be a whole number, not text",
		"note: -1\n":                           "line 1, column 7, note: -1 is out of range",
		"note: 1\nmodels: 5\n":                 "line 2, column 9, models: must be a mapping, not a number",
		"note: 1\nmodels:\n  add: x\n":         "line 3, column 8, add: must be a list, not text",
		"note: 1\nmodels: {add: [{name: []}]}": "line 2, column 23, name: must be text, not a list",
		"hello":                                "line 1, column 1, note: must be a mapping, not text",
	} {
		_, err := Parse([]byte(text))
		is.New(t).True(err != nil)
		is.New(t).Equal(err.Error(), want)
	}
}

// Guards against numbers that the YAML decoder converts: note 1.5 was read as
// note 1, and an unquoted version 1.10 as version 1.1.
func TestNumbersAreNotChanged(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("note: 1.5\n"))
	is.True(err != nil)
	is.Equal(err.Error(), "line 1, column 7, note: must be a whole number, not 1.5")
	text := strings.Replace(firstNote, `version: "1"`, "version: 1.10", 1)
	is.True(text != firstNote)
	_, err = Parse([]byte(text))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "version: 1.10 would be read as 1.1: write it in quotes"))
	for _, unchanged := range []string{`"1.10"`, "1.1", "7"} {
		_, err = Parse([]byte(strings.Replace(firstNote, `version: "1"`, "version: "+unchanged, 1)))
		is.NoErr(err)
	}
}

// Guards against notes that make the parser panic, and against a note whose digest
// changes when its canonical form is parsed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("note: 2\nmodels:\n  withdraw: [{name: a}]\n"))
	f.Add([]byte("note: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			_ = Problems(err)
			return
		}
		again, err := ParseCanonical(doc.Note.Canonical())
		if err != nil {
			t.Fatal(err)
		}
		if again.Digest() != doc.Note.Digest() {
			t.Fatalf("digest changed from %s to %s", doc.Note.Digest(), again.Digest())
		}
		_ = doc.Check(NewCatalogue())
	})
}
