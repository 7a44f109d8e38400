package release_test

import (
	"fmt"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// A note is applied to a catalogue completely or not at all.
func Example() {
	doc, err := release.Parse([]byte(`note: 1
models:
  add:
    - name: quote-large
      version: "2"
      manifest: sha256:` + strings.Repeat("a", 64) + `
      replicas: {role: quote}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	catalogue, _, err := release.Apply(doc.Note, release.NewCatalogue())
	fmt.Println(catalogue.Revision, catalogue.Models["quote-large"].Version, err)
	_, _, err = release.Apply(doc.Note, catalogue)
	fmt.Println(err != nil)
	// Output:
	// 1 2 <nil>
	// true
}
