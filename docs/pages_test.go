package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/confirm"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

const root = ".."

// updatePages is an environment variable: write pages instead of comparing.
const updatePages = "UPDATE_PAGES"

// example marks where the source of an example function stands in a page.
var example = regexp.MustCompile("(?s)<!-- example (\\S+) (\\w+) -->\n```go\n.*?```")

// Guards against a page that shows code which no longer compiles or runs.
// UPDATE_PAGES=1 go test ./docs rewrites it.
func TestEmbeddingExamplesAreCurrent(t *testing.T) {
	is := is.New(t)
	page := "embedding.md"
	data, err := os.ReadFile(page)
	is.NoErr(err)
	shown := map[string]bool{}
	text := example.ReplaceAllStringFunc(string(data), func(block string) string {
		parts := example.FindStringSubmatch(block)
		shown[parts[1]+" "+parts[2]] = true
		return "<!-- example " + parts[1] + " " + parts[2] + " -->\n```go\n" + functionSource(t, filepath.Join(root, parts[1]), parts[2]) + "\n```"
	})
	is.Equal(len(shown), 13) // one for each public package
	if os.Getenv(updatePages) != "" {
		is.NoErr(os.WriteFile(page, []byte(text), 0o644))
		return
	}
	if text != string(data) {
		t.Error("docs/embedding.md is stale; run UPDATE_PAGES=1 go test ./docs")
	}
}

// functionSource returns the source of a function with its doc comment.
func functionSource(t *testing.T, path, name string) string {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, data, parser.ParseComments)
	is.NoErr(err)
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Name.Name != name {
			continue
		}
		start := function.Pos()
		if function.Doc != nil {
			start = function.Doc.Pos()
		}
		return string(data[files.Position(start).Offset:files.Position(function.End()).Offset])
	}
	t.Fatalf("%s has no function %s", path, name)
	return ""
}

// Guards against events, reasons and exit codes that operators meet but cannot
// look up.
func TestOperatingNamesEverything(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("operating.md")
	is.NoErr(err)
	text := string(data)
	names := eventNames(t)
	is.True(len(names) > 20)
	_, section, _ := strings.Cut(text, "\n## Log events\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, quoted := range regexp.MustCompile("`[a-z0-9_.]+`[,| ]").FindAllString(section, -1) {
		name := strings.Trim(quoted, "`,| ")
		if !slices.Contains(names, name) && !slices.Contains([]string{"message", "fields", "program", "instance"}, name) {
			t.Errorf("operating.md lists the event `%s`, which no daemon logs", name)
		}
	}
	for _, reason := range append(outcome.RefusalReasons(), outcome.AttemptReasons()...) {
		names = append(names, string(reason))
	}
	for _, reason := range []confirm.Reason{confirm.NeverConfirmed, confirm.LeaseExpired, confirm.Behind} {
		names = append(names, string(reason))
	}
	for _, name := range names {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("operating.md does not mention `%s`", name)
		}
	}
	for code := operator.ExitOK; code <= operator.ExitNotInForce; code++ {
		is.True(strings.Contains(text, "\n| "+strconv.Itoa(code)+" |"))
	}
}

var (
	eventName = regexp.MustCompile(`^[a-z0-9_]+(\.[a-z0-9_]+)?$`)
	logMethod = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true, "Fatal": true}
)

// eventNames returns the messages of all log calls of the daemons and fails
// for one that is not the name of an event.
func eventNames(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	var found []string
	is.NoErr(filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/measure/") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) != 1 {
				return true
			}
			method, isMethod := call.Fun.(*ast.SelectorExpr)
			literal, isText := call.Args[0].(*ast.BasicLit)
			if !isMethod || !isText || literal.Kind != token.STRING || !logMethod[method.Sel.Name] {
				return true
			}
			name, err := strconv.Unquote(literal.Value)
			is.NoErr(err)
			if !eventName.MatchString(name) {
				t.Errorf("%s logs %q, which is not the name of an event", path, name)
			}
			found = append(found, name)
			return true
		})
		return nil
	}))
	return found
}
