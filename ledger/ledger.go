package ledger

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// ErrMalformed means that a command or snapshot cannot be decoded.
var ErrMalformed = errors.New("malformed ledger data")

// Retention of claims, and duration of suspicion and quarantine.
const (
	ClaimRetentionMs = 24 * 60 * 60 * 1000
	QuarantineMs     = 60 * 60 * 1000
)

// Ledger is the replicated state. It is not safe for concurrent use.
type Ledger struct {
	nowMs       int64
	catalogue   release.Catalogue
	digests     []byte // 32 bytes per accepted note, in order of number
	claims      claims
	suspects    suspects
	lastDelta   *release.Delta
	quarantine  uint64 // incremented when the suspects may have changed
	routing     SetRouting
	weights     map[string][]WeightsVersion // by model, oldest first
	evacuations Evacuations
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{catalogue: release.NewCatalogue(), claims: newClaims(), suspects: newSuspects(), weights: map[string][]WeightsVersion{}}
}

// Encode encodes a command for the log.
func Encode(c Command) ([]byte, error) { return wire.Marshal(c) }

// Decode decodes a command and checks that it has exactly one operation.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := wire.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	operations := 0
	for _, set := range []bool{c.Note != nil, c.Claim != nil, c.Complete != nil, c.Crash != nil, c.Clear != nil, c.Lookup != nil, c.Routing != nil, c.Weights != nil, c.Evacuation != nil} {
		if set {
			operations++
		}
	}
	if operations != 1 {
		return c, fmt.Errorf("%w: command with %d operations", ErrMalformed, operations)
	}
	return c, nil
}

// Apply applies a command to the state and returns its result.
func (l *Ledger) Apply(c Command) Result {
	l.nowMs = max(l.nowMs, c.AtMs)
	l.claims.expire(l.nowMs)
	if l.suspects.expire(l.nowMs) {
		l.quarantine++
	}
	switch {
	case c.Note != nil:
		return l.applyNote(*c.Note)
	case c.Claim != nil:
		return l.claims.claim(*c.Claim, l.nowMs)
	case c.Complete != nil:
		return l.claims.complete(*c.Complete)
	case c.Crash != nil:
		l.quarantine++
		return l.suspects.crash(*c.Crash, l.nowMs)
	case c.Clear != nil:
		l.quarantine++
		return l.suspects.clear(*c.Clear)
	case c.Lookup != nil:
		return l.claims.lookup(*c.Lookup)
	case c.Routing != nil:
		return l.applyRouting(*c.Routing)
	case c.Weights != nil:
		return l.applyWeightsVersion(*c.Weights)
	case c.Evacuation != nil:
		return l.applyEvacuation(*c.Evacuation)
	}
	return refused("empty command")
}

// applyRouting keeps the document with the highest version. A document that is
// not newer changes nothing and is reported as accepted, so that an operator can
// resend it after losing the reply.
func (l *Ledger) applyRouting(r SetRouting) Result {
	if r.Version == 0 || len(r.Document) == 0 {
		return refused("routing document without version or content")
	}
	result := Result{Status: StatusAccepted, Number: r.Version}
	if r.Version <= l.routing.Version {
		result.Repeated = true
		return result
	}
	l.routing = r
	return result
}

// applyWeightsVersion appends the version if it is the highest one set for the model.
func (l *Ledger) applyWeightsVersion(n SetWeightsVersion) Result {
	if n.Version == 0 || n.Model == "" {
		return refused("weights without model or version")
	}
	result := Result{Status: StatusAccepted, Number: n.Version}
	held := l.weights[n.Model]
	if len(held) > 0 && n.Version <= held[len(held)-1].Version {
		result.Repeated = true
		return result
	}
	next := append(slices.Clone(held), WeightsVersion{n.Version, l.nowMs})
	if len(next) > wire.MaxNamedWeights {
		drop := wire.WeightsToDrop(len(next), func(i int) time.Duration { return time.Duration(next[i].AtMs) * time.Millisecond })
		// The weights before the dropped version were superseded when it was set.
		next[drop+1].AtMs = next[drop].AtMs
		next = slices.Delete(next, drop, drop+1)
	}
	l.weights = maps.Clone(l.weights)
	l.weights[n.Model] = next
	return result
}

// WeightsVersion is a weights version and the ledger's time when it was set, in
// Unix milliseconds. After versions that were dropped, that is the time of the earliest
// of them.
type WeightsVersion struct {
	Version uint64 `cbor:"1,keyasint"`
	AtMs    int64  `cbor:"2,keyasint"`
}

// Routing returns the accepted routing document, with version 0 if there is none.
// The ledger does not modify it later.
func (l *Ledger) Routing() SetRouting { return l.routing }

// Weights returns the last versions set for each model, oldest first. The ledger
// does not modify the map later.
func (l *Ledger) Weights() map[string][]WeightsVersion { return l.weights }

func refused(reason string) Result { return Result{Status: StatusRefused, Reason: reason} }

// applyNote accepts the note with the next number, repeats the result of a note
// that was accepted before, and refuses all others.
func (l *Ledger) applyNote(s SubmitNote) Result {
	if held, ok := l.NoteDigest(s.Number); ok {
		if held == s.Digest {
			return Result{Status: StatusAccepted, Number: s.Number, Digest: held, Repeated: true}
		}
		return Result{
			Status: StatusConflict, Number: s.Number, Digest: held,
			Reason: fmt.Sprintf("note %d was accepted with other content: %s", s.Number, held),
		}
	}
	expected := l.catalogue.Revision + 1
	if s.Number != expected {
		r := refused(fmt.Sprintf("note number must be %d, the last accepted number plus one", expected))
		r.Number = expected
		return r
	}
	note, err := release.ParseCanonical(s.Canonical)
	if err != nil {
		return refused(err.Error())
	}
	if note.Number != s.Number || release.DigestOf(s.Canonical) != s.Digest {
		return refused("number or digest does not match the note's content")
	}
	next, delta, err := release.Apply(note, l.catalogue)
	if err != nil {
		return refused(err.Error())
	}
	raw, err := rawDigest(s.Digest)
	if err != nil {
		return refused(err.Error())
	}
	l.catalogue, l.lastDelta = next, &delta
	l.digests = append(l.digests, raw...)
	return Result{Status: StatusAccepted, Number: s.Number, Digest: s.Digest}
}

// NoteDigest returns the digest of an accepted note.
func (l *Ledger) NoteDigest(number uint64) (release.Digest, bool) {
	if number == 0 || number > uint64(len(l.digests)/digestBytes) {
		return "", false
	}
	at := (number - 1) * digestBytes
	return digestFromRaw(l.digests[at : at+digestBytes]), true
}

// Catalogue returns the current catalogue. The ledger does not modify it later.
func (l *Ledger) Catalogue() release.Catalogue { return l.catalogue }

// LastDelta returns the delta of the last accepted note, or nil if no note has
// been applied since New or Restore.
func (l *Ledger) LastDelta() *release.Delta { return l.lastDelta }

// QuarantineVersion returns a number that changes whenever the result of Suspects
// may have changed.
func (l *Ledger) QuarantineVersion() uint64 { return l.quarantine }

// NowMs returns the ledger's time in Unix milliseconds: the highest AtMs applied.
func (l *Ledger) NowMs() int64 { return l.nowMs }

// Suspects returns the suspected and quarantined fingerprints that have not
// expired at nowMs.
func (l *Ledger) Suspects(nowMs int64) []wire.QuarantinedRequest { return l.suspects.list(nowMs) }

// ClaimState is the state of a claimed key.
type ClaimState struct {
	Status   Status
	Owner    string
	Complete *CompleteClaim
}

// ClaimState returns the state of a claimed key, or false if the key is not known.
func (l *Ledger) ClaimState(organisation, key string) (ClaimState, bool) {
	return l.claims.outcome(organisation, key, l.nowMs)
}

// Sizes holds the numbers of stored records, for status and metrics.
type Sizes struct {
	Notes       int `json:"notes"`
	Claims      int `json:"claims"`
	ResultBytes int `json:"result_bytes"`
	ExpiredKeys int `json:"expired_keys"`
	Suspects    int `json:"suspects"`
}

// Sizes returns the numbers of stored records.
func (l *Ledger) Sizes() Sizes {
	return Sizes{
		Notes: len(l.digests) / digestBytes, Claims: len(l.claims.held), ResultBytes: l.claims.bodyBytes,
		ExpiredKeys: len(l.claims.expired) + int(l.claims.bloomCount), Suspects: len(l.suspects.held),
	}
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	NowMs       int64                       `cbor:"1,keyasint"`
	Catalogue   release.Catalogue           `cbor:"2,keyasint"`
	Digests     []byte                      `cbor:"3,keyasint"`
	Claims      []claimRecord               `cbor:"4,keyasint"`
	Expired     []byte                      `cbor:"5,keyasint"` // hashes of 8 bytes each
	Filter      []byte                      `cbor:"6,keyasint,omitempty"`
	Filtered    uint64                      `cbor:"7,keyasint,omitempty"`
	Suspects    map[string]suspect          `cbor:"8,keyasint,omitempty"`
	Incidents   map[string]int64            `cbor:"9,keyasint,omitempty"`
	Routing     *SetRouting                 `cbor:"10,keyasint,omitempty"`
	Weights     map[string][]WeightsVersion `cbor:"11,keyasint,omitempty"`
	Evacuations *Evacuations                `cbor:"12,keyasint,omitempty"`
}

// Snapshot encodes the state. Equal states have equal encodings.
func (l *Ledger) Snapshot() ([]byte, error) {
	expired := make([]byte, 0, len(l.claims.expired)*hashBytes)
	for _, h := range l.claims.expired {
		expired = appendHash(expired, h)
	}
	var routing *SetRouting
	if l.routing.Version != 0 {
		routing = &l.routing
	}
	var evacuations *Evacuations
	if l.evacuations.Revision != 0 {
		evacuations = &l.evacuations
	}
	return snapshotEncMode.Marshal(snapshotState{
		Routing: routing, Weights: l.weights, Evacuations: evacuations,
		NowMs: l.nowMs, Catalogue: l.catalogue, Digests: l.digests,
		Claims: l.claims.ordered(), Expired: expired, Filter: l.claims.bloom, Filtered: l.claims.bloomCount,
		Suspects: l.suspects.held, Incidents: l.suspects.incidents,
	})
}

// Restore decodes a snapshot. For invalid data it returns an error that wraps
// ErrMalformed.
func Restore(data []byte) (*Ledger, error) {
	l := New()
	if len(data) == 0 {
		return l, nil
	}
	var s snapshotState
	if err := snapshotDecMode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(s.Digests)%digestBytes != 0 || len(s.Expired)%hashBytes != 0 ||
		(len(s.Filter) != 0 && len(s.Filter) != bloomBytes) ||
		uint64(len(s.Digests)/digestBytes) != s.Catalogue.Revision {
		return nil, fmt.Errorf("%w: inconsistent snapshot fields", ErrMalformed)
	}
	l.nowMs, l.digests = s.NowMs, s.Digests
	l.catalogue = s.Catalogue.Clone()
	if l.catalogue.Models == nil {
		l.catalogue.Models = map[string]release.Model{}
	}
	if l.catalogue.Adapters == nil {
		l.catalogue.Adapters = map[string]release.Adapter{}
	}
	l.claims.restore(s)
	if s.Suspects != nil {
		l.suspects.held = s.Suspects
	}
	if s.Routing != nil {
		l.routing = *s.Routing
	}
	if s.Weights != nil {
		l.weights = s.Weights
	}
	if s.Evacuations != nil {
		l.evacuations = *s.Evacuations
	}
	if s.Incidents != nil {
		l.suspects.incidents = s.Incidents
	}
	return l, nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
