package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
)

// An endpoint with a stream in flight is ejected when it produces no tokens.
func Example() {
	now := time.Now()
	b := balancer.New(balancer.Config{Zone: "z1", MaxEjectedShare: 0.5, Rand: rand.IntN})
	serves := map[string]string{"quote-large": "sha256:set"}
	b.Update([]balancer.Endpoint{
		{ID: "a", Zone: "z1", Capacity: 8, Ready: true, Serves: serves},
		{ID: "b", Zone: "z1", Capacity: 8, Ready: true, Serves: serves},
	}, now)
	b.Started("a", "attempt-1", true, now)
	fmt.Println("ejected:", b.EjectStalled(now.Add(3*time.Second)))
	choice, ok := b.Pick(balancer.Request{Pool: "quote-large"}, now.Add(3*time.Second))
	fmt.Println(choice.ID, choice.WeightsSet, ok)
	// Output:
	// ejected: [a]
	// b sha256:set true
}
