package manifest_test

import (
	"fmt"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/manifest"
)

// Decode verifies a manifest against the digest that a release note names.
func Example() {
	var b manifest.Builder
	_ = b.Add("quote-small/5/config.json", strings.NewReader("{}"))
	_, data, digest, err := b.Build()
	if err != nil {
		fmt.Println(err)
		return
	}
	m, err := manifest.Decode(data, digest)
	fmt.Println(m.Files[0].Name, err)
	_, err = manifest.Decode(append(data, ' '), digest)
	fmt.Println(err != nil)
	// Output:
	// quote-small/5/config.json <nil>
	// true
}
