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

// A part of three requests that crash their endpoints is quarantined; the part that a sound
// request has, too, is not.
func ExamplePartList() {
	now := time.Now()
	list := quarantine.NewPartList(quarantine.PartConfig{})
	shared := quarantine.NewPartID("part", []byte("instructions"))
	deadly := quarantine.NewPartID("part", []byte("document"))
	for _, endpoint := range []string{"endpoint-1", "endpoint-2", "endpoint-3"} {
		placed := now
		now = now.Add(time.Second)
		list.RecordCrash(quarantine.CrashReport{
			Endpoint: endpoint, Source: "organisation", PlacedAt: placed.Add(time.Millisecond), At: now, Parts: []quarantine.PartID{shared, deadly},
		}, now)
	}
	list.RecordSound([]quarantine.PartID{shared}, now.Add(time.Second))
	fmt.Println(list.Check([]quarantine.PartID{shared, deadly}, "organisation", now).Quarantined)
	fmt.Println(list.Check([]quarantine.PartID{shared}, "organisation", now).Quarantined)
	// Output:
	// true
	// false
}
