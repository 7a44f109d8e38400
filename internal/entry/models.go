package entry

import (
	"cmp"
	"slices"

	"github.com/rhubarbhill/rhubarbhill/release"
)

const modelOwner = "rhubarbhill"

// listModels returns the base models and adapters, sorted by name.
func listModels(c release.Catalogue) []modelObject {
	list := []modelObject{}
	for name := range c.Models {
		list = append(list, modelObject{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	for name := range c.Adapters {
		list = append(list, modelObject{ID: name, Object: "model", OwnedBy: modelOwner})
	}
	slices.SortFunc(list, func(a, b modelObject) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
