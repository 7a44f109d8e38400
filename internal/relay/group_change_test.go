package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against slots that are granted twice because running requests are not reported to the
// broker of another group that takes over their engines: the last entry of a zone drains, or
// the number of engines passes that of a single group.
func TestRunningRequestsAreKnownAfterChangeOfGroups(t *testing.T) {
	const engines = 102
	for name, c := range map[string]struct {
		draining string // zone whose entries drain
		engines  int    // afterwards
	}{
		"no change":               {"", engines},
		"entries of a zone drain": {"a", engines},
		"engines leave":           {"", engines - 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, cancel := newPeerNetwork(t, 4, engines, "a", "b")
				defer cancel()
				placed := map[string]int{}
				place := func(requests int) {
					for i := range requests {
						entry := fmt.Sprint("entry-", i%2)
						if p, ok := n.place(entry, 0); ok && p.response.Verdict == placement.Placed {
							placed[p.choice.ID]++
						}
					}
				}
				place(engines * engineSlots / 2)
				n.setFleet([]string{"a", "b"}, c.draining, c.engines)
				time.Sleep(2 * reportInterval)
				place(engines * engineSlots)
				for id, requests := range placed {
					if requests > engineSlots {
						t.Logf("%s runs %d requests, it has %d slots", id, requests, engineSlots)
						is.Fail()
						break
					}
				}
			})
		})
	}
}

// setFleet lists engines, and the entries outside one zone, at all entries.
func (n *peerNetwork) setFleet(zones []string, draining string, engines int) {
	table := routing.Compile(&routing.Document{Services: []routing.Service{{Name: "quotes", Engine: &routing.Engine{
		Slots: engineSlots, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75,
	}}}})
	var list []placement.Endpoint
	for i := range engines {
		list = append(list, placement.Endpoint{ID: fmt.Sprint("engine-", i), Incarnation: 1, Address: "x", Zone: zones[i%len(zones)], WeightsVersion: 1})
	}
	var entries []placement.Entry
	for i := range len(n.slots) {
		if zone := zones[i%len(zones)]; zone != draining {
			entries = append(entries, placement.Entry{Name: fmt.Sprint("entry-", i), Zone: zone})
		}
	}
	for _, s := range n.slots {
		s.update(table, map[string][]placement.Endpoint{"quotes": list}, entries, time.Now())
	}
}
