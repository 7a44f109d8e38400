package outcome_test

import (
	"fmt"

	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// Each attempt gets a new identifier, which can be parsed from its text form.
func Example() {
	source := outcome.NewIDGenerator("entry-1", 1000)
	id := source.Next()
	parsed, err := outcome.ParseAttemptID(id.String())
	fmt.Println(id, parsed == id, err)
	// Output: entry-1.rs.1 true <nil>
}
