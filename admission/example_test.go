package admission_test

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/admission"
)

// A pool with one slot serves two organisations alternately.
func Example() {
	now := time.Now()
	c := admission.New(admission.Config{Entry: "entry-1"})
	c.SetSlots(1)
	for id, organisation := range []string{"large", "large", "small"} {
		r := admission.Request{ID: uint64(id), Organisation: organisation, Deadline: now.Add(time.Minute)}
		admitted, refused := c.Submit(r, now)
		fmt.Println(organisation, "admitted:", admitted, "refused:", refused != nil)
	}
	c.Done("large", 100*time.Millisecond)
	granted, _ := c.Dispatch(now)
	fmt.Println("next:", granted)
	// Output:
	// large admitted: true refused: false
	// large admitted: false refused: false
	// small admitted: false refused: false
	// next: [2]
}
