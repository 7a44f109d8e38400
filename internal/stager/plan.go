package stager

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// source is where a piece may come from. An empty peer is the origin.
type source struct{ peer string }

// plan says where each piece of a version comes from. It is the same on every
// stager that knows of the same others, so that no messages about who fetches
// what are needed.
type plan struct {
	self    wire.Process
	holders []wire.Process // of the whole version, those of this region first
	region  []wire.Process // that fetch it too, this one included
	all     []wire.Process
}

// newPlan divides the work among the stagers of this service.
func newPlan(self wire.Process, processes []wire.Process, version uint64) plan {
	p := plan{self: self}
	known := false
	for _, other := range processes {
		if other.Service != self.Service || other.Draining {
			continue
		}
		known = known || other.Name == self.Name
		if other.Holds == version && other.Name != self.Name {
			p.holders = append(p.holders, other)
			continue
		}
		p.add(other)
	}
	if !known {
		p.add(self)
	}
	slices.SortStableFunc(p.holders, func(a, b wire.Process) int {
		return p.distance(a) - p.distance(b)
	})
	return p
}

func (p *plan) add(other wire.Process) {
	p.all = append(p.all, other)
	if other.Region == p.self.Region {
		p.region = append(p.region, other)
	}
}

func (p *plan) distance(other wire.Process) int {
	if other.Region == p.self.Region {
		return 0
	}
	return 1
}

// home is the stager of a list that a piece belongs to. Removing another stager
// from the list moves no piece.
func home(list []wire.Process, piece int) wire.Process {
	var best wire.Process
	var highest uint64
	for _, p := range list {
		if weight := weightOf(p.Name, piece); best.Name == "" || weight > highest {
			best, highest = p, weight
		}
	}
	return best
}

func weightOf(name string, piece int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(append([]byte(name), byte(piece), byte(piece>>8))) // never fails
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// deputyAfter is the time after which the next stager in order takes a piece from
// the origin, when those before it did not bring it. An origin that is there now
// may be gone soon, so it is short; but an origin that all use takes about 1.7 s for
// all pieces, and with 0.7 s each piece was fetched from it twice.
const deputyAfter = 1200 * time.Millisecond

// sources lists where to ask for a piece, in order, after a transfer has lasted so
// long. At most two stagers go to the origin for a piece: an origin that all turn to
// together serves none of them in time.
func (p *plan) sources(piece int, age time.Duration) []source {
	var list []source
	add := func(other wire.Process) {
		s := source{other.PeerAddress}
		if other.Name != p.self.Name && other.PeerAddress != "" && !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	near := slices.DeleteFunc(slices.Clone(p.holders), func(h wire.Process) bool { return p.distance(h) > 0 })
	if len(near) > 0 {
		add(home(near, piece+rotation(p.self.Name)))
		add(home(near, piece))
		add(home(p.holders, piece+rotation(p.self.Name)))
		return append(list, source{})
	}
	order := inOrder(p.region, piece)
	at := slices.IndexFunc(order, func(other wire.Process) bool { return other.Name == p.self.Name })
	for range ancestors {
		if at <= 0 {
			break
		}
		at = parent(at)
		add(order[at])
	}
	if len(p.holders) > 0 {
		add(home(p.holders, piece+rotation(p.self.Name)))
	}
	for _, deputy := range deputies(inOrder(p.all, piece), age) {
		if deputy.Name == p.self.Name {
			return append(list, source{})
		}
		add(deputy)
	}
	return list
}

// deputies are the stagers that may take a piece from the origin after a transfer
// has lasted so long: the first in order, and one more, which changes each
// deputyAfter.
func deputies(order []wire.Process, age time.Duration) []wire.Process {
	list := order[:1:1]
	if at := int(age/deputyAfter) % len(order); at > 0 {
		list = append(list, order[at])
	}
	return list
}

// listSources are the stagers to ask for a version's list: holders, or the one that
// takes it from the origin for all.
func (p *plan) listSources() []wire.Process {
	if len(p.holders) > 0 {
		return p.holders[:min(ancestors, len(p.holders))]
	}
	if first := inOrder(p.all, listPiece)[0]; first.Name != p.self.Name {
		return []wire.Process{first}
	}
	return nil
}

// listPiece stands for the list in the order of stagers.
const listPiece = -1

// inOrder lists stagers in a piece's own random order. The first takes the piece
// from outside; within a region each of the others takes it from its parent in a
// binary tree of this order. So every stager sends about as much as every other:
// with one sender for a piece, the one that most pieces fall to sends for longest.
func inOrder(list []wire.Process, piece int) []wire.Process {
	ordered := slices.Clone(list)
	slices.SortFunc(ordered, func(a, b wire.Process) int {
		return cmp.Compare(weightOf(b.Name, piece), weightOf(a.Name, piece))
	})
	return ordered
}

// parent is the position from which the one at a position above 0 takes a piece.
func parent(at int) int { return (at - 1) / 2 }

// ancestors are asked one after another when the nearest does not answer.
const ancestors = 2

// rotation spreads stagers that fetch the same piece over its holders.
func rotation(name string) int { return int(weightOf(name, 0) % 251) }

// rank orders the pieces: first those that most others wait for.
func (p *plan) rank(piece int) int {
	if inOrder(p.all, piece)[0].Name == p.self.Name {
		return -1
	}
	return slices.IndexFunc(inOrder(p.region, piece), func(other wire.Process) bool { return other.Name == p.self.Name })
}
