package yamlcheck_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/yamlcheck"
)

// Guards against deeply nested input that keeps the parser busy for minutes, and
// against a limit that rejects long but flat lists.
func TestDepth(t *testing.T) {
	for _, part := range []string{"[", "{a: ", "- ", "{", "[[],"} {
		is.New(t).True(yamlcheck.CheckDepth([]byte(strings.Repeat(part, 100_000))) != nil) // too deep
	}
	for _, whole := range []string{
		"", strings.Repeat("- a\n", 1000), "a: [" + strings.Repeat("[], ", 1000) + "]", `a: "` + strings.Repeat("[", 1000) + `"`,
		strings.Repeat("- - a\n", 1000),
	} {
		is.New(t).NoErr(yamlcheck.CheckDepth([]byte(whole)))
	}
}
