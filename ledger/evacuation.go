package ledger

import (
	"fmt"
	"maps"
	"slices"
)

// SetEvacuation starts or ends the evacuation of a zone. KnownRevision is the evacuation
// revision that the proposing replica knew when it received the order. An order that was
// received before the latest change of its zone was known, and that would undo that change, is
// a late one and changes nothing.
type SetEvacuation struct {
	Zone          string `cbor:"1,keyasint"`
	Evacuated     bool   `cbor:"2,keyasint,omitempty"`
	KnownRevision uint64 `cbor:"3,keyasint,omitempty"`
}

// ZoneEvacuation is the latest order for a zone.
type ZoneEvacuation struct {
	Evacuated bool   `cbor:"1,keyasint,omitempty"`
	Revision  uint64 `cbor:"2,keyasint"` // of the change
	AtMs      int64  `cbor:"3,keyasint"` // the ledger's time of the change, Unix milliseconds
}

// Evacuations holds the latest order for each zone that was ever evacuated. Revision increases
// with each change. The ledger does not modify a value that it has returned.
type Evacuations struct {
	Revision uint64                    `cbor:"1,keyasint"`
	Zones    map[string]ZoneEvacuation `cbor:"2,keyasint,omitempty"`
}

// Evacuated returns the evacuated zones, sorted.
func (e Evacuations) Evacuated() []string {
	var zones []string
	for _, zone := range slices.Sorted(maps.Keys(e.Zones)) {
		if e.Zones[zone].Evacuated {
			zones = append(zones, zone)
		}
	}
	return zones
}

const (
	// maxEvacuationZones limits the zones on record, and with them the size of the messages
	// that list them. Replicas refuse zones that are not in their settings.
	maxEvacuationZones = 256
	maxZoneBytes       = 256
)

// Evacuations returns the latest order for each zone.
func (l *Ledger) Evacuations() Evacuations { return l.evacuations }

// applyEvacuation starts or ends the evacuation of a zone. An order that is already in force
// changes nothing and is reported as accepted, so that an operator can resend it after losing
// the reply. An order proposed before a newer one was known is a conflict.
func (l *Ledger) applyEvacuation(s SetEvacuation) Result {
	if s.Zone == "" || len(s.Zone) > maxZoneBytes {
		return refused("evacuation without a zone, or with a name that is too long")
	}
	held, known := l.evacuations.Zones[s.Zone]
	result := Result{Status: StatusAccepted, Number: l.evacuations.Revision}
	switch {
	case held.Evacuated == s.Evacuated:
		result.Repeated = true
		return result
	case held.Revision > s.KnownRevision:
		return Result{
			Status: StatusConflict, Number: held.Revision,
			Reason: fmt.Sprintf("zone %s was changed at revision %d, after the order that was received at revision %d", s.Zone, held.Revision, s.KnownRevision),
		}
	case !known && len(l.evacuations.Zones) >= maxEvacuationZones:
		return refused("too many zones")
	}
	next := maps.Clone(l.evacuations.Zones)
	if next == nil {
		next = map[string]ZoneEvacuation{}
	}
	revision := l.evacuations.Revision + 1
	next[s.Zone] = ZoneEvacuation{Evacuated: s.Evacuated, Revision: revision, AtMs: l.nowMs}
	l.evacuations = Evacuations{Revision: revision, Zones: next}
	result.Number = revision
	return result
}
