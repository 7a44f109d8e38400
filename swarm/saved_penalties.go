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
	// maxSavedPenalties and maxSavedName bound the size of the saved data. An
	// instance has at most MaxPeers peers at a time, so that entries beyond the
	// bound belong to former peers.
	maxSavedPenalties = 256
	maxSavedName      = 128
	// MaxSavedBytes is an upper bound for the size of an encoding. JSON may
	// escape one byte of a name as six.
	MaxSavedBytes = maxSavedPenalties * (6*maxSavedName + 128)
)

// ErrSavedPenalties is returned for data that is not a valid encoding.
var ErrSavedPenalties = errors.New("saved penalties are damaged")

// savedPenalty is the saved penalty of a peer that sent corrupt chunks.
type savedPenalty struct {
	Peer  string    `json:"peer"`
	Count int       `json:"count"`
	Until time.Time `json:"until"`
}

// Encode serialises the penalties of corrupt peers, so that they survive a
// restart: a checksum line, then entries with their expiry times. Other faults
// are transient and left out. wall is the wall-clock time at now.
//
// Without saved penalties, each restart of an instance wastes up to
// FetchesPerPeer chunks, 8 MiB, per corrupt neighbour. That is little, but a
// peer with a faulty disk stays faulty for hours, each wasted chunk delays a
// rollout on a slow link, and the cost is one small file that is written only
// after a corrupt chunk.
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
		return nil // unreachable: strings, numbers and these times always encode
	}
	return append(checksum(body), body...)
}

func savableName(name string) bool {
	return name != "" && len(name) <= maxSavedName && utf8.ValidString(name)
}

// checksum returns the first line of an encoding: the hex SHA-256 of body.
func checksum(body []byte) []byte {
	sum := sha256.Sum256(body)
	return append([]byte(hex.EncodeToString(sum[:])), '\n')
}

// Restore adds the penalties from data that Encode returned, except expired
// ones. None lasts longer than the longest backoff from now, so that a clock
// that was set back cannot exclude a peer indefinitely.
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
