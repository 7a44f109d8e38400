package swarm

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// maxSavedPenalties and maxSavedName bound what is saved. An instance has at
	// most MaxPeers sources at a time, so more entries are old ones.
	maxSavedPenalties = 256
	maxSavedName      = 128
	// MaxSavedBytes is above the size of any encoding. JSON can take six bytes
	// for one of a name.
	MaxSavedBytes = maxSavedPenalties * (6*maxSavedName + 128)
)

// ErrSavedPenalties is returned for data that Encode did not return.
var ErrSavedPenalties = errors.New("saved penalties are damaged")

// savedPenalty is a peer that sent content which does not match its digest.
type savedPenalty struct {
	Peer  string    `json:"peer"`
	Count int       `json:"count"`
	Until time.Time `json:"until"`
}

// Encode returns the penalties of corrupt peers in a form that outlives the
// process: a checksum, and entries with the time at which they expire. Other
// faults pass by themselves and are left out. wall is the time of day at now.
//
// What it saves is small: without it, each restart of an instance costs up to
// FetchesPerPeer wasted chunks, 8 MiB, for each corrupt neighbour. It is kept
// because a peer with a bad disk stays bad for hours, each wasted chunk delays
// a rollout on a thin link, and the cost is one small file, written after a
// corrupt chunk only.
func (p *Penalties) Encode(now time.Duration, wall time.Time) []byte {
	list := []savedPenalty{}
	for source, e := range p.sources {
		count := e.counts[FaultCorrupt]
		if source.Kind != KindPeer || count == 0 || e.until <= now || !savableName(source.Peer) {
			continue
		}
		list = append(list, savedPenalty{Peer: source.Peer, Count: count, Until: wall.Add(e.until - now).UTC()})
	}
	slices.SortFunc(list, func(a, b savedPenalty) int {
		return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Peer, b.Peer))
	})
	list = list[:min(len(list), maxSavedPenalties)]
	body, err := json.Marshal(list)
	if err != nil {
		return nil // not reached: the fields are text, a number and a time after wall
	}
	return append(checksum(body), body...)
}

func savableName(name string) bool {
	return name != "" && len(name) <= maxSavedName && utf8.ValidString(name)
}

// checksum returns the first line of an encoding.
func checksum(body []byte) []byte {
	sum := sha256.Sum256(body)
	return append([]byte(hex.EncodeToString(sum[:])), '\n')
}

// Restore adds penalties from data that Encode returned. Expired ones are left
// out. None lasts longer than the longest pause from now on, so that a clock
// that was set back keeps no peer out for good.
func (p *Penalties) Restore(data []byte, now time.Duration, wall time.Time) error {
	list, err := decodePenalties(data)
	if err != nil {
		return err
	}
	limit := peerBackoff[FaultCorrupt].limit
	for _, e := range list {
		left := min(e.Until.Sub(wall), limit)
		if left <= 0 {
			continue
		}
		p.sources[Source{Kind: KindPeer, Peer: e.Peer}] = &penalty{
			counts: map[Fault]int{FaultCorrupt: min(e.Count, maxDoublings)}, until: now + left,
		}
	}
	return nil
}

func decodePenalties(data []byte) ([]savedPenalty, error) {
	if len(data) > MaxSavedBytes {
		return nil, ErrSavedPenalties
	}
	end := bytes.IndexByte(data, '\n') + 1
	body := data[end:]
	if !bytes.Equal(data[:end], checksum(body)) {
		return nil, ErrSavedPenalties
	}
	var list []savedPenalty
	if json.Unmarshal(body, &list) != nil || len(list) > maxSavedPenalties {
		return nil, ErrSavedPenalties
	}
	for _, e := range list {
		if !savableName(e.Peer) || e.Count < 1 {
			return nil, ErrSavedPenalties
		}
	}
	return list, nil
}
