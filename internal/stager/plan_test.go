package stager

import (
	"fmt"
	"slices"
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
			first := p.sources(piece, 0, answers)[0]
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

func answers(string) bool { return false }

// atOrigin lists the stagers that go to the origin for a piece.
func atOrigin(list []wire.Process, piece int, age time.Duration, silent func(string) bool) []string {
	var names []string
	for _, self := range list {
		p := newPlan(self, list, 2)
		for _, s := range p.sources(piece, age, silent) {
			if s.peer == "" {
				names = append(names, self.Name)
			}
		}
	}
	return names
}

// Guards against stagers that wait for one that never brings the piece though it
// answers: after a while another goes to the origin as well, in turn, and never
// more than two.
func TestOverduePieces(t *testing.T) {
	is := is.New(t)
	list := stagers(30)
	for age, want := range map[time.Duration]int{
		0: 1, 2 * time.Second: 1, overdueAfter: 2, 2 * overdueAfter: 2, overdueAfter + 29*overdueStep: 1,
	} {
		is.Equal(len(atOrigin(list, 7, age, answers)), want)
	}
}

// Guards against a transfer that lacks pieces for as long as the first ones in
// their order stand still, while the origin that is there goes down: with three of
// them silent the fourth has taken its turn within 2 s, and with none of them
// silent nobody goes to the origin twice.
func TestDeputiesOfSilentStagers(t *testing.T) {
	is := is.New(t)
	list := stagers(30)
	order := inOrder(list, 7)
	for n := range deputies + 1 {
		silent := func(address string) bool {
			for _, p := range order[:n] {
				if p.PeerAddress == address {
					return true
				}
			}
			return false
		}
		is.Equal(len(atOrigin(list, 7, 0, silent)), 1)
		got := atOrigin(list, 7, 2*time.Second, silent)
		is.Equal(len(got), n+1) // those that are silent do not know it
		for _, p := range order[:n+1] {
			is.True(slices.Contains(got, p.Name))
		}
	}
}

// Guards against a deputy that learns of its turn only after it has waited at each
// of its peers.
func TestDeputyLooksInTime(t *testing.T) {
	is := is.New(t)
	list := stagers(30)
	looking := 0
	for _, self := range list {
		p := newPlan(self, list, 2)
		in, ok := p.deputyIn(7, probeAfter/2)
		if !ok {
			continue
		}
		looking++
		is.True(in <= deputies*probeAfter)
	}
	is.Equal(looking, deputies)
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
		first := p.sources(piece, 0, answers)[0].peer
		is.True(first == list[2].PeerAddress || first == list[5].PeerAddress)
	}
}

// Guards against a stager that stops being alone because it is not listed yet.
func TestPlanOfOne(t *testing.T) {
	is := is.New(t)
	p := newPlan(stagers(1)[0], nil, 1)
	is.Equal(p.sources(0, 0, answers), []source{{}})
	is.Equal(p.rank(0), -1)
}
