package relay

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
)

// Guards against a broker that does not learn the pace that an endpoint states to an entry, and
// against messages that are sent for it alone.
func TestBrokerLearnsPace(t *testing.T) {
	messages := map[float64]int{}
	for _, pace := range []float64{0, 8} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, cancel := newPeerNetwork(t, 3, 2, "a")
			defer cancel()
			n.sent = map[string]int{}
			chosen := map[string]int{}
			for range 2 { // the estimate for one of the two engines
				p, ok := n.place("entry-0", 0)
				is.True(ok)
				is.Equal(p.response.Verdict, placement.Placed)
				chosen[p.choice.ID]++
				s := n.slots["entry-0"]
				if p.choice.ID == "engine-0" {
					s.recordPace(p.sequence, pace)
				}
				s.firstEvent(p.sequence, 0)
				s.end(p.sequence, placement.Success)
				time.Sleep(50 * time.Millisecond)
			}
			p, ok := n.place("entry-1", 0)
			is.True(ok)
			chosen[p.choice.ID]++
			want := map[string]int{"engine-0": 3}
			if pace > 1 {
				want = map[string]int{"engine-0": 1, "engine-1": 2}
			}
			is.Equal(chosen, want)
			time.Sleep(50 * time.Millisecond)
			n.mu.Lock()
			defer n.mu.Unlock()
			for _, count := range n.sent {
				messages[pace] += count
			}
		})
	}
	is.New(t).Equal(messages[8], messages[0])
}

// Guards against figures that overflow or change when they are sent to a broker.
func TestPaceIsEncoded(t *testing.T) {
	is := is.New(t)
	for pace, want := range map[float64]int{0: 0, -1: 0, 0.5: 50, 1: 100, 2.5: 250, 2.554: 255, 1e9: 0, math.Inf(1): 0} {
		is.Equal(encodePace(pace), want)
	}
	is.Equal(encodePace(math.NaN()), 0)
	is.Equal(decodePace(250), 2.5)
}
