package admission

import (
	"cmp"
	"maps"
	"slices"
)

// Usage is the number of requests of one organisation at one entry.
type Usage struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// Allowance is the entry's part of Limit.MaxInFlight, for organisations that
	// have such a limit.
	Allowance float64 `json:"allowance,omitempty"`
}

// Demand is the number of slots that the organisation could use.
func (u Usage) Demand() int { return u.InFlight + u.Waiting }

// Report maps the names of organisations to their usage at one entry.
type Report map[string]Usage

// Allocation is the part of a pool's slots that is allocated to an entry.
type Allocation struct {
	// Slots is the total number of slots that the entry may use.
	Slots float64
	// ByOrganisation maps each organisation to the entry's part of its fair share, in
	// slots.
	ByOrganisation map[string]float64
}

// FairShares computes the weighted max-min fair allocation of slots: no
// organisation gets more than its demand, and those whose demand is not met get
// slots in proportion to their weights.
func FairShares(slots float64, demands map[string]float64, weight func(string) float64) map[string]float64 {
	shares := make(map[string]float64, len(demands))
	// Progressive filling meets the smallest demands per weight first.
	order := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[a]/weight(a), demands[b]/weight(b)), cmp.Compare(a, b))
	})
	total := 0.0
	for _, name := range order {
		total += weight(name)
	}
	for _, name := range order {
		share := min(demands[name], slots*weight(name)/total)
		shares[name] = share
		slots -= share
		total -= weight(name)
	}
	return shares
}

// Allocate computes the part of the entry self from the reports of all entries,
// its own included. The parts that entries compute from the same reports add up
// to slots. Slots without demand are divided equally among the entries, so that
// new requests can be admitted at once.
func Allocate(slots int, self string, reports map[string]Report, weight func(string) float64) Allocation {
	demands := map[string]float64{}
	for _, report := range reports {
		for name, usage := range report {
			demands[name] += float64(usage.Demand())
		}
	}
	shares := FairShares(float64(slots), demands, weight)
	d := Allocation{ByOrganisation: map[string]float64{}}
	spare := float64(slots)
	for name, share := range shares {
		spare -= share
		own := float64(reports[self][name].Demand())
		if demands[name] > 0 {
			d.ByOrganisation[name] = share * own / demands[name]
			d.Slots += d.ByOrganisation[name]
		}
	}
	d.Slots += max(0, spare) / float64(max(1, len(reports)))
	return d
}
