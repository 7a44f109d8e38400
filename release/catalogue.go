package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Digest is a content digest in the form "sha256:<64 hex digits>".
type Digest string

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest("sha256:" + hex.EncodeToString(sum[:]))
}

// Hex returns the digest without its prefix.
func (d Digest) Hex() string { return strings.TrimPrefix(string(d), "sha256:") }

// Model is a base model in the catalogue, served by the endpoints with the same
// role.
type Model struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Version  string `cbor:"2,keyasint" json:"version"`
	Manifest Digest `cbor:"3,keyasint" json:"manifest"`
	Role     string `cbor:"4,keyasint" json:"role"`
}

// Adapter is an adapter in the catalogue. It is served on top of its base model,
// in the same weights set.
type Adapter struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Base     string `cbor:"2,keyasint" json:"base"`
	Version  string `cbor:"3,keyasint" json:"version"`
	Manifest Digest `cbor:"4,keyasint" json:"manifest"`
}

// Catalogue is the result of applying the accepted notes in order. Revision is the
// number of the last one.
type Catalogue struct {
	Revision uint64             `cbor:"1,keyasint" json:"revision"`
	Models   map[string]Model   `cbor:"2,keyasint" json:"models"`
	Adapters map[string]Adapter `cbor:"3,keyasint" json:"adapters"`
}

// Delta is the change of a catalogue from revision From to revision To.
type Delta struct {
	From           uint64    `cbor:"1,keyasint"`
	To             uint64    `cbor:"2,keyasint"`
	Models         []Model   `cbor:"3,keyasint,omitempty"`
	Adapters       []Adapter `cbor:"4,keyasint,omitempty"`
	RemoveModels   []string  `cbor:"5,keyasint,omitempty"`
	RemoveAdapters []string  `cbor:"6,keyasint,omitempty"`
}

// WeightsSet is a base model with all its adapters, which are loaded and switched
// together.
type WeightsSet struct {
	Model    Model     `cbor:"1,keyasint" json:"model"`
	Adapters []Adapter `cbor:"2,keyasint" json:"adapters"`
}

// ID returns the identifier of the set, the digest of its content.
func (s WeightsSet) ID() string { return string(canonicalDigest(s)) }

// NewCatalogue returns the empty catalogue at revision 0.
func NewCatalogue() Catalogue {
	return Catalogue{Models: map[string]Model{}, Adapters: map[string]Adapter{}}
}

// Clone returns a copy with its own maps.
func (c Catalogue) Clone() Catalogue {
	return Catalogue{Revision: c.Revision, Models: maps.Clone(c.Models), Adapters: maps.Clone(c.Adapters)}
}

// Digest returns the digest of the canonical form, which is equal on every
// replica.
func (c Catalogue) Digest() Digest { return canonicalDigest(c) }

// WeightsSet returns the weights set of a base model.
func (c Catalogue) WeightsSet(model string) (WeightsSet, bool) {
	m, ok := c.Models[model]
	if !ok {
		return WeightsSet{}, false
	}
	set := WeightsSet{Model: m}
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		if a := c.Adapters[name]; a.Base == model {
			set.Adapters = append(set.Adapters, a)
		}
	}
	return set, true
}

// Resolve returns the weights set that serves a name, which is that of a base
// model or an adapter.
func (c Catalogue) Resolve(name string) (WeightsSet, bool) {
	if a, ok := c.Adapters[name]; ok {
		return c.WeightsSet(a.Base)
	}
	return c.WeightsSet(name)
}

// WeightsSetsForRole returns the weights sets that an endpoint with the given role
// serves, in order of model name.
func (c Catalogue) WeightsSetsForRole(role string) []WeightsSet {
	var sets []WeightsSet
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		if c.Models[name].Role == role {
			set, _ := c.WeightsSet(name)
			sets = append(sets, set)
		}
	}
	return sets
}

// canonicalDigest relies on encoding/json to write struct fields in declaration
// order and map keys in sorted order.
func canonicalDigest(v any) Digest {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always marshal
	}
	return DigestOf(data)
}
