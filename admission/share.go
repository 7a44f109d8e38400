package admission

import (
	"cmp"
	"maps"
	"slices"
)

// Usage is the demand of one organisation at one entry.
type Usage struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	// Allowance is the entry's part of the organisation's own limit, for
	// organisations that have one.
	Allowance float64 `json:"allowance,omitempty"`
}

// Demand is the number of slots that would be in use without a shortage.
func (u Usage) Demand() int { return u.InFlight + u.Waiting }

// Report maps organisations to their usage at one entry.
type Report map[string]Usage

// Division is an entry's part of a pool.
type Division struct {
	// Slots is the total that the entry may use.
	Slots float64
	// Parts is the entry's part of each organisation's fair share.
	Parts map[string]float64
}

// FairShares divides slots among demands so that no organisation gets more
// than it asks for and what is left is divided by weight: the maximum of the
// smallest weighted share.
func FairShares(slots float64, demands map[string]float64, weight func(string) float64) map[string]float64 {
	shares := make(map[string]float64, len(demands))
	// Organisations in the order in which a rising level satisfies them.
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

// Divide computes the part of the entry self from all entries' reports, its
// own included. Entries with the same reports compute parts that add up to
// slots. What nobody asks for is divided equally, ready for new requests.
func Divide(slots int, self string, reports map[string]Report, weight func(string) float64) Division {
	demands := map[string]float64{}
	for _, report := range reports {
		for name, usage := range report {
			demands[name] += float64(usage.Demand())
		}
	}
	shares := FairShares(float64(slots), demands, weight)
	d := Division{Parts: map[string]float64{}}
	spare := float64(slots)
	for name, share := range shares {
		spare -= share
		own := float64(reports[self][name].Demand())
		if demands[name] > 0 {
			d.Parts[name] = share * own / demands[name]
			d.Slots += d.Parts[name]
		}
	}
	d.Slots += max(0, spare) / float64(max(1, len(reports)))
	return d
}
