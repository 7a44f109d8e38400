package quarantine_test

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// A request that was in flight during crashes of two endpoints is refused.
func Example() {
	now := time.Now()
	list := quarantine.New(quarantine.Config{})
	f := quarantine.Fingerprint("/v1/chat/completions", []byte(`{"model":"m","messages":[]}`))
	fmt.Println(list.Check(f, now).Exclusive)
	fmt.Println(list.RecordCrash(f, "endpoint-1", now).Exclusive)
	fmt.Println(list.RecordCrash(f, "endpoint-2", now).Quarantined)
	// Output:
	// false
	// true
	// true
}
