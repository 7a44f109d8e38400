package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbhill/rhubarbhill/release"
)

// Values of Change.Change.
const (
	changeAdd      = "add"
	changeChange   = "change"
	changeWithdraw = "withdraw"
)

// Change is one line of a diff between two catalogues.
type Change struct {
	Change string `json:"change"` // add, change or withdraw
	Kind   string `json:"kind"`   // model or adapter
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// diffCatalogues returns the differences, models first, each kind sorted by name.
func diffCatalogues(before, after release.Catalogue) []Change {
	return append(
		diffEntries("model", before.Models, after.Models, describeModel),
		diffEntries("adapter", before.Adapters, after.Adapters, describeAdapter)...)
}

func diffEntries[E comparable](kind string, before, after map[string]E, describe func(E) string) []Change {
	names := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.SortFunc(names, strings.Compare)
	var list []Change
	for _, name := range slices.Compact(names) {
		old, inBefore := before[name]
		updated, inAfter := after[name]
		switch {
		case !inBefore:
			list = append(list, Change{changeAdd, kind, name, "", describe(updated)})
		case !inAfter:
			list = append(list, Change{changeWithdraw, kind, name, describe(old), ""})
		case old != updated:
			list = append(list, Change{changeChange, kind, name, describe(old), describe(updated)})
		}
	}
	return list
}

func describeModel(m release.Model) string {
	return fmt.Sprintf("%s role=%s %s", m.Version, m.Role, shortenDigest(string(m.Manifest)))
}

func describeAdapter(a release.Adapter) string {
	return fmt.Sprintf("%s base=%s %s", a.Version, a.Base, shortenDigest(string(a.Manifest)))
}
