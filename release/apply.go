package release

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrDeltaMismatch is returned when the revision that a delta starts from is not
// the catalogue's.
var ErrDeltaMismatch = errors.New("delta does not start at the catalogue's revision")

// Apply validates a note against c and returns the resulting catalogue and the
// delta. It does not modify c. The error is an *InvalidError with all problems.
func Apply(n Note, c Catalogue) (Catalogue, Delta, error) {
	if problems := n.problems(); len(problems) > 0 {
		return c, Delta{}, &InvalidError{Problems: problems}
	}
	k := &checker{}
	if n.Number != c.Revision+1 {
		k.add("note", "number must be %d, the last accepted number plus one", c.Revision+1)
	}
	delta := Delta{From: c.Revision, To: n.Number}
	k.applyModels(n.Models, c, &delta)
	k.applyAdapters(n.Adapters, c, &delta)
	next := delta.applied(c)
	k.checkResult(n, next)
	if len(k.problems) > 0 {
		return c, Delta{}, &InvalidError{Problems: k.problems}
	}
	return next, delta, nil
}

func (k *checker) applyModels(changes ModelChanges, c Catalogue, delta *Delta) {
	for i, spec := range changes.Add {
		k.checkAbsent(fmt.Sprintf("models.add[%d].name", i), spec.Name, c)
		m := Model{Name: spec.Name, Version: spec.Version, Manifest: spec.Manifest}
		if spec.Replicas != nil {
			m.Role = spec.Replicas.Role
		}
		delta.Models = append(delta.Models, m)
	}
	for i, spec := range changes.Change {
		old, ok := c.Models[spec.Name]
		if !ok {
			k.add(fmt.Sprintf("models.change[%d].name", i), "no model %q", spec.Name)
			continue
		}
		m := Model{Name: spec.Name, Version: spec.Version, Manifest: spec.Manifest, Role: old.Role}
		if spec.Replicas != nil {
			m.Role = spec.Replicas.Role
		}
		if m == old {
			k.add(fmt.Sprintf("models.change[%d]", i), "changes nothing")
		}
		delta.Models = append(delta.Models, m)
	}
	for i, ref := range changes.Withdraw {
		if _, ok := c.Models[ref.Name]; !ok {
			k.add(fmt.Sprintf("models.withdraw[%d].name", i), "no model %q", ref.Name)
		}
		delta.RemoveModels = append(delta.RemoveModels, ref.Name)
	}
}

func (k *checker) applyAdapters(changes AdapterChanges, c Catalogue, delta *Delta) {
	for i, spec := range changes.Add {
		k.checkAbsent(fmt.Sprintf("adapters.add[%d].name", i), spec.Name, c)
		delta.Adapters = append(delta.Adapters, Adapter(spec))
	}
	for i, spec := range changes.Change {
		old, ok := c.Adapters[spec.Name]
		if !ok {
			k.add(fmt.Sprintf("adapters.change[%d].name", i), "no adapter %q", spec.Name)
			continue
		}
		a := Adapter(spec)
		if a.Base == "" {
			a.Base = old.Base
		}
		if a == old {
			k.add(fmt.Sprintf("adapters.change[%d]", i), "changes nothing")
		}
		delta.Adapters = append(delta.Adapters, a)
	}
	for i, ref := range changes.Withdraw {
		if _, ok := c.Adapters[ref.Name]; !ok {
			k.add(fmt.Sprintf("adapters.withdraw[%d].name", i), "no adapter %q", ref.Name)
		}
		delta.RemoveAdapters = append(delta.RemoveAdapters, ref.Name)
	}
}

func (k *checker) checkAbsent(field, name string, c Catalogue) {
	if _, ok := c.Models[name]; ok {
		k.add(field, "a model %q exists already", name)
	}
	if _, ok := c.Adapters[name]; ok {
		k.add(field, "an adapter %q exists already", name)
	}
}

// checkResult reports adapters whose base model is missing from the resulting
// catalogue.
func (k *checker) checkResult(n Note, next Catalogue) {
	for _, name := range slices.Sorted(maps.Keys(next.Adapters)) {
		a := next.Adapters[name]
		if _, ok := next.Models[a.Base]; !ok {
			k.add(baseField(n, a), "adapter %q needs base model %q", a.Name, a.Base)
		}
	}
}

// baseField returns the path of the field that left the adapter without its base
// model.
func baseField(n Note, a Adapter) string {
	for i, spec := range n.Adapters.Add {
		if spec.Name == a.Name {
			return fmt.Sprintf("adapters.add[%d].base", i)
		}
	}
	for i, spec := range n.Adapters.Change {
		if spec.Name == a.Name {
			return fmt.Sprintf("adapters.change[%d].base", i)
		}
	}
	for i, ref := range n.Models.Withdraw {
		if ref.Name == a.Base {
			return fmt.Sprintf("models.withdraw[%d].name", i)
		}
	}
	return "adapters"
}

// Apply returns the catalogue that results from applying the delta to c.
func (d Delta) Apply(c Catalogue) (Catalogue, error) {
	if d.From != c.Revision {
		return c, fmt.Errorf("%w: delta from %d, catalogue at %d", ErrDeltaMismatch, d.From, c.Revision)
	}
	return d.applied(c), nil
}

func (d Delta) applied(c Catalogue) Catalogue {
	next := c.Clone()
	if next.Models == nil {
		next.Models = map[string]Model{}
	}
	if next.Adapters == nil {
		next.Adapters = map[string]Adapter{}
	}
	next.Revision = d.To
	for _, m := range d.Models {
		next.Models[m.Name] = m
	}
	for _, a := range d.Adapters {
		next.Adapters[a.Name] = a
	}
	for _, name := range d.RemoveModels {
		delete(next.Models, name)
	}
	for _, name := range d.RemoveAdapters {
		delete(next.Adapters, name)
	}
	return next
}
