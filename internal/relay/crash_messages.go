package relay

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// crashMessage encodes a quarantine.CrashReport, with the time relative to the sending of
// the message.
type crashMessage struct {
	Endpoint    string   `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint"`
	AgeMs       int64    `cbor:"3,keyasint,omitempty"`
	Parts       []uint64 `cbor:"4,keyasint"`
	RequestID   string   `cbor:"5,keyasint,omitempty"` // for logs
}

// soundMessage reports that a request with some parts began AgeMs before the message was
// sent and did not crash its endpoint.
type soundMessage struct {
	Parts []uint64 `cbor:"1,keyasint"`
	AgeMs int64    `cbor:"2,keyasint"`
}

// suspectsMessage holds the records of an entry, or requests those of the receiver.
type suspectsMessage struct {
	Request bool                `cbor:"1,keyasint,omitempty"`
	Records []partRecordMessage `cbor:"2,keyasint,omitempty"`
}

// partRecordMessage encodes a quarantine.PartRecord.
type partRecordMessage struct {
	_       struct{} `cbor:",toarray"`
	Part    uint64
	Crashes []partCrashMessage
}

// partCrashMessage encodes a quarantine.Crash.
type partCrashMessage struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	Incarnation uint64
	AgeMs       int64
	Others      []uint64
}

func newCrashMessage(r quarantine.CrashReport, request string, now time.Time) *crashMessage {
	return &crashMessage{
		Endpoint: r.Endpoint, Incarnation: r.Incarnation, AgeMs: now.Sub(r.At).Milliseconds(), Parts: toUint64(r.Parts), RequestID: request,
	}
}

func (m *crashMessage) crashReport(now time.Time) quarantine.CrashReport {
	parts := toPartIDs(m.Parts)
	return quarantine.CrashReport{
		Endpoint: m.Endpoint, Incarnation: m.Incarnation, At: now.Add(-fromMs(m.AgeMs)), Parts: parts[:min(len(parts), maxSuspectParts)],
	}
}

func newSuspectsMessage(records []quarantine.PartRecord, now time.Time) *suspectsMessage {
	m := &suspectsMessage{}
	for _, r := range records {
		encoded := partRecordMessage{Part: uint64(r.Part)}
		for _, c := range r.Crashes {
			encoded.Crashes = append(encoded.Crashes, partCrashMessage{
				Endpoint: c.Endpoint, Incarnation: c.Incarnation, AgeMs: now.Sub(c.At).Milliseconds(), Others: toUint64(c.Others),
			})
		}
		m.Records = append(m.Records, encoded)
	}
	return m
}

func (m partRecordMessage) partRecord(now time.Time) quarantine.PartRecord {
	r := quarantine.PartRecord{Part: quarantine.PartID(m.Part)}
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Endpoint: c.Endpoint, Incarnation: c.Incarnation, At: now.Add(-fromMs(c.AgeMs)), Others: toPartIDs(c.Others),
		})
	}
	return r
}
