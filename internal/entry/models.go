package entry

import (
	"cmp"
	"slices"

	"github.com/rhubarbhill/rhubarbhill/release"
)

const modelOwner = "rhubarbhill"

// listModels returns base models and adapters in order of name.
func listModels(c release.Catalogue) []modelAnswer {
	list := []modelAnswer{}
	for name := range c.Models {
		list = append(list, modelAnswer{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	for name := range c.Adapters {
		list = append(list, modelAnswer{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	slices.SortFunc(list, func(a, b modelAnswer) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
