package relay

import (
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// crashMessage encodes a quarantine.CrashReport, with times relative to the sending of the
// message.
type crashMessage struct {
	Endpoint    string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	AgeMs       int64    `cbor:"3,keyasint,omitempty"`
	Parts       []uint64 `cbor:"4,keyasint"`
	RequestID   string   `cbor:"5,keyasint,omitempty"` // for logs
	PlacedAgeMs int64    `cbor:"6,keyasint,omitempty"`
	Source      string   `cbor:"7,keyasint,omitempty"`
}

// soundMessage reports that a request with some parts began AgeMs before the message was
// sent and did not crash its endpoint.
type soundMessage struct {
	Parts []uint64 `cbor:"1,keyasint"`
	AgeMs int64    `cbor:"2,keyasint"`
}

// suspectsMessage holds the records of an entry, or requests those of the receiver.
type suspectsMessage struct {
	Request bool `cbor:"1,keyasint,omitempty"`
	// Starting is true in the response of an entry that has just started, too.
	Starting bool                `cbor:"3,keyasint,omitempty"`
	Records  []partRecordMessage `cbor:"2,keyasint,omitempty"`
}

// partRecordMessage encodes a quarantine.PartRecord.
type partRecordMessage struct {
	_        struct{} `cbor:",toarray"`
	Part     uint64
	Renewals int
	Crashes  []partCrashMessage
	Common   []uint64 // parts that the requests of all crashes have in common
}

// partCrashMessage encodes a quarantine.Crash.
type partCrashMessage struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation uint64
	Source      string
	PlacedAgeMs int64
	AgeMs       int64
}

// maxBytes returns an upper limit of the encoded size.
func (m partRecordMessage) maxBytes() int {
	const number = 9 // the longest encoding of a number or a length
	bytes := number * (5 + len(m.Common))
	for _, c := range m.Crashes {
		bytes += 6*number + len(c.Endpoint) + len(c.Source)
	}
	return bytes
}

func newCrashMessage(r quarantine.CrashReport, request string, now time.Time) *crashMessage {
	return &crashMessage{
		Endpoint: r.Endpoint, Incarnation: r.Incarnation, Source: r.Source, PlacedAgeMs: ageMs(r.PlacedAt, now), AgeMs: ageMs(r.At, now),
		Parts: toUint64(r.Parts), RequestID: request,
	}
}

func (m *crashMessage) crashReport(now time.Time) quarantine.CrashReport {
	parts := toPartIDs(m.Parts)
	return quarantine.CrashReport{
		Endpoint: m.Endpoint, Incarnation: m.Incarnation, Source: m.Source, PlacedAt: ago(m.PlacedAgeMs, now), At: ago(m.AgeMs, now),
		Parts: parts[:min(len(parts), maxSuspectParts)],
	}
}

func newPartRecordMessage(r quarantine.PartRecord, now time.Time) partRecordMessage {
	common := r.CommonParts()
	m := partRecordMessage{Part: uint64(r.Part), Renewals: r.Renewals, Common: toUint64(common[:min(len(common), maxCommonParts)])}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, partCrashMessage{
			Endpoint: c.Endpoint, Incarnation: c.Incarnation, Source: c.Source, PlacedAgeMs: ageMs(c.PlacedAt, now), AgeMs: ageMs(c.At, now),
		})
	}
	return m
}

func (m partRecordMessage) partRecord(now time.Time) quarantine.PartRecord {
	r := quarantine.PartRecord{Part: quarantine.PartID(m.Part), Renewals: max(0, min(m.Renewals, maxRenewals))}
	common := toPartIDs(m.Common)
	slices.Sort(common)
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Endpoint: c.Endpoint, Incarnation: c.Incarnation, Source: c.Source, PlacedAt: ago(c.PlacedAgeMs, now), At: ago(c.AgeMs, now),
			Parts: common,
		})
	}
	return r
}

func ageMs(at, now time.Time) int64 { return now.Sub(at).Milliseconds() }

// ago returns the time with the given age. A message with an age out of range, which would
// be a time in the future or overflow, counts as new or as old as possible.
func ago(ageMs int64, now time.Time) time.Time { return now.Add(-fromMs(max(0, min(ageMs, maxMs)))) }

// maxRenewals is above the renewals after which a quarantine lasts no longer.
const maxRenewals = 16
