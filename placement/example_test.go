package placement_test

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

func Example() {
	p := placement.NewPool(placement.Config{})
	p.Update(nil, []placement.Endpoint{{ID: "dispatch-1", Incarnation: 1, Zone: "bne-a", Slots: 6}}, time.Now())
	choice, verdict := p.Place(placement.Request{Zone: "bne-a"}, time.Now())
	fmt.Println(choice.ID, verdict == placement.Placed)
	p.Begin(choice.ID, placement.Prefill{PromptTokens: 0})
	p.End(choice.ID, choice.Incarnation, placement.PrefillState{InPrefill: true}, placement.Success, time.Now())
	// Output: dispatch-1 true
}
