package ledger_test

import (
	"fmt"

	"github.com/rhubarbhill/rhubarbhill/ledger"
)

// A second claim of the same key by another attempt is a duplicate.
func Example() {
	l := ledger.New()
	for _, owner := range []string{"attempt-1", "attempt-2"} {
		claim := &ledger.Claim{Organisation: "council", Key: "order-1", Owner: owner}
		fmt.Println(l.Apply(ledger.Command{AtMs: 1, Claim: claim}).Status)
	}
	// Output:
	// accepted
	// duplicate
}
