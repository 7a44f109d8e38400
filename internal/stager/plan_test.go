package stager

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

func stagers(n int) []wire.Process {
	list := make([]wire.Process, n)
	for i := range list {
		list[i] = wire.Process{
			Name: fmt.Sprint("side-", i), PeerAddress: fmt.Sprintf("10.0.0.%d:1", i), Service: "quote",
			Region: fmt.Sprint("region-", i%3), Zone: fmt.Sprint("zone-", i%3),
		}
	}
	return list
}

// Guards against an origin that all turn to, and against a stager that sends far
// more than the others: the last stager is done when the busiest one is. The bound
// of 1.6 leaves the whole transfer within the 8 s that new weights may take.
func TestPlanSharesTheWork(t *testing.T) {
	is := is.New(t)
	const pieces = 64
	list := stagers(75)
	sends := map[string]int{}
	origin := 0
	for _, self := range list {
		p := newPlan(self, list, 2)
		for piece := range pieces {
			first := p.sources(piece, 0)[0]
			if first.peer == "" {
				origin++
				continue
			}
			sends[first.peer]++
		}
	}
	is.Equal(origin, pieces) // each piece once
	mean, most := (len(list)*pieces-pieces)/len(list), 0
	for _, n := range sends {
		most = max(most, n)
	}
	t.Logf("mean %d, most %d", mean, most)
	is.True(most*10 <= mean*16)
}

// Guards against stagers that wait for one that never brings the piece: after a
// while another goes to the origin as well, in turn, and never more than two.
func TestDeputies(t *testing.T) {
	is := is.New(t)
	list := stagers(30)
	for age, want := range map[time.Duration]int{0: 1, deputyAfter: 2, 3 * deputyAfter: 2, 30 * deputyAfter: 1} {
		count := 0
		for _, self := range list {
			p := newPlan(self, list, 2)
			for _, s := range p.sources(7, age) {
				if s.peer == "" {
					count++
				}
			}
		}
		is.Equal(count, want)
	}
}

// Guards against pieces that cross between regions though they are near.
func TestNearHoldersFirst(t *testing.T) {
	is := is.New(t)
	list := stagers(9)
	for i := range 6 {
		list[i].Holds = 2
	}
	p := newPlan(list[8], list, 2)
	for piece := range 64 {
		first := p.sources(piece, 0)[0].peer
		is.True(first == list[2].PeerAddress || first == list[5].PeerAddress)
	}
}

// Guards against a stager that stops being alone because it is not listed yet.
func TestPlanOfOne(t *testing.T) {
	is := is.New(t)
	p := newPlan(stagers(1)[0], nil, 1)
	is.Equal(p.sources(0, 0), []source{{}})
	is.Equal(p.rank(0), -1)
}
