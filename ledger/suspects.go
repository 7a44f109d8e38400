package ledger

import (
	"math"
	"slices"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// maxSuspects is the maximum number of fingerprints kept; see evict.
	maxSuspects = 10_000
	// maxIncidentFingerprints is the maximum number of fingerprints in a report.
	maxIncidentFingerprints = 4096
	maxFingerprintBytes     = 128
)

// suspect is a fingerprint that was in flight when an endpoint crashed. Its
// requests run exclusively until it is cleared, and not at all while it is
// quarantined.
type suspect struct {
	Crashed     []string `cbor:"1,keyasint"`
	UntilMs     int64    `cbor:"2,keyasint"`
	Quarantined bool     `cbor:"3,keyasint,omitempty"`
}

type suspects struct {
	held      map[string]suspect
	incidents map[string]int64 // expiry times of reported incidents
	nextMs    int64            // earliest expiry
}

func newSuspects() suspects {
	return suspects{held: map[string]suspect{}, incidents: map[string]int64{}}
}

// crash makes the fingerprints of an incident suspects. A fingerprint is
// quarantined after a crash during an exclusive run or after its second crash, so
// that one request crashes at most two endpoints.
func (s *suspects) crash(c ReportCrash, nowMs int64) Result {
	if c.Incident == "" || c.Endpoint == "" || len(c.Fingerprints) > maxIncidentFingerprints {
		return refused("crash report without incident or endpoint, or with too many fingerprints")
	}
	if _, ok := s.incidents[c.Incident]; ok {
		return Result{Status: StatusDuplicate}
	}
	s.incidents[c.Incident] = nowMs + QuarantineMs
	s.nextMs = min(s.nextMs, nowMs+QuarantineMs)
	alone := c.Exclusive && len(c.Fingerprints) == 1
	for _, fingerprint := range c.Fingerprints {
		if fingerprint == "" || len(fingerprint) > maxFingerprintBytes {
			continue
		}
		held := s.held[fingerprint]
		second := len(held.Crashed) > 0
		held.Crashed = append(slices.Clone(held.Crashed), c.Endpoint)
		held.UntilMs = nowMs + QuarantineMs
		held.Quarantined = held.Quarantined || alone || second
		s.held[fingerprint] = held
	}
	s.evict()
	return Result{Status: StatusAccepted}
}

// clear removes a suspect that completed an exclusive run. A quarantined
// fingerprint stays until it expires.
func (s *suspects) clear(c ClearSuspect) Result {
	held, ok := s.held[c.Fingerprint]
	switch {
	case !ok:
		return Result{Status: StatusDuplicate}
	case held.Quarantined:
		return refused("fingerprint is quarantined")
	}
	delete(s.held, c.Fingerprint)
	return Result{Status: StatusAccepted}
}

func (s *suspects) expire(nowMs int64) bool {
	if nowMs < s.nextMs {
		return false
	}
	changed := false
	s.nextMs = math.MaxInt64
	for fingerprint, held := range s.held {
		if held.UntilMs <= nowMs {
			delete(s.held, fingerprint)
			changed = true
			continue
		}
		s.nextMs = min(s.nextMs, held.UntilMs)
	}
	for incident, until := range s.incidents {
		if until <= nowMs {
			delete(s.incidents, incident)
			continue
		}
		s.nextMs = min(s.nextMs, until)
	}
	return changed
}

// evict removes fingerprints beyond maxSuspects, so that many crashes do not grow
// memory: first those that are not quarantined, and among equals those that
// expire first.
func (s *suspects) evict() {
	if len(s.held) <= maxSuspects {
		return
	}
	names := sortedKeys(s.held)
	slices.SortStableFunc(names, func(a, b string) int {
		x, y := s.held[a], s.held[b]
		if x.Quarantined != y.Quarantined {
			if y.Quarantined {
				return -1
			}
			return 1
		}
		return int(x.UntilMs - y.UntilMs)
	})
	for _, name := range names[:len(names)-maxSuspects] {
		delete(s.held, name)
	}
}

func (s *suspects) list(nowMs int64) []wire.QuarantinedRequest {
	var list []wire.QuarantinedRequest
	for _, fingerprint := range sortedKeys(s.held) {
		held := s.held[fingerprint]
		if held.UntilMs > nowMs {
			list = append(list, wire.QuarantinedRequest{
				Fingerprint: fingerprint, Until: held.UntilMs, Quarantined: held.Quarantined, Crashed: held.Crashed,
			})
		}
	}
	return list
}
