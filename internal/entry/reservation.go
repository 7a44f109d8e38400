package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// A suspect runs exclusively, through one entry at a time. The entry that wants to
// run it obtains a reservation from all entries, or from maxReservers of them
// selected by the fingerprint. Each grants one reservation at a time, so two
// entries cannot hold it at once. That remains true when a granting entry restarts
// and forgets its grant, as long as another remembers it. An entry that refuses
// connections, or has not reported for usageExpiry, is skipped because it may be
// gone for good. After a network partition longer than that, entries on both sides
// can therefore run the same suspect.

// pathReservations is served to other entries and requires the process token.
const pathReservations = "/entry/reservations"

const (
	maxReservers = 8
	// reservationMargin is how long a reservation that is not released remains valid
	// after the deadline of its request.
	reservationMargin = time.Second
)

// reservation is permission to run a suspect exclusively.
type reservation struct {
	holder string
	until  time.Time
}

// reservationRequest requests or releases a reservation.
type reservationRequest struct {
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	ForMs       int64  `json:"for_ms"`
	Release     bool   `json:"release,omitempty"`
}

// reservationResponse is the reply to a reservationRequest. Lost lists the endpoints
// that the replying entry knows to have crashed while running the suspect.
type reservationResponse struct {
	Granted bool     `json:"granted"`
	Lost    []string `json:"lost,omitempty"`
}

func (s *suspects) reserve(r reservationRequest, now time.Time) reservationResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, reserved := s.reserved[r.Fingerprint]
	switch {
	case r.Release:
		if held.holder == r.Holder {
			delete(s.reserved, r.Fingerprint)
		}
		return reservationResponse{}
	case reserved && held.holder != r.Holder && now.Before(held.until):
		return reservationResponse{}
	}
	s.reserved[r.Fingerprint] = reservation{r.Holder, now.Add(time.Duration(r.ForMs) * time.Millisecond)}
	return reservationResponse{Granted: true, Lost: s.list.CrashedEndpoints(r.Fingerprint, now)}
}

func (e *Entry) serveReservation(w http.ResponseWriter, r *http.Request) {
	var request reservationRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeaderBytes)).Decode(&request)
	if err != nil || request.Fingerprint == "" || request.Holder == "" {
		http.Error(w, "not a reservation", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, e.suspects.reserve(request, time.Now()))
}

// reservers returns the entries that grant reservations for a fingerprint. They are
// sorted, so that all entries ask them in the same order and one of two concurrent
// requesters succeeds.
func (p *peers) reservers(fingerprint string) []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peerState
	for _, s := range p.list {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b peerState) int {
		return cmp.Compare(hashString(fingerprint+"/"+a.Name), hashString(fingerprint+"/"+b.Name))
	})
	list = list[:min(len(list), maxReservers)]
	slices.SortFunc(list, func(a, b peerState) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// reserve obtains the reservation for the exclusive run of the call. If an entry
// refuses, it releases the grants already obtained and returns false; otherwise
// they are held until releaseReservation.
func (e *Entry) reserve(c *call) bool {
	c.reservationHolder = e.attempts.Next().String()
	for _, p := range e.peers.reservers(c.fingerprint) {
		response, err := e.requestReservation(c, p)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), err != nil && e.peers.timedOut(p.Name, time.Now()):
			continue
		case err != nil || !response.Granted:
			e.releaseReservation(c)
			return false
		}
		for _, endpoint := range response.Lost {
			e.suspects.recordLoss(loss{c.fingerprint, endpoint, true}, time.Now())
		}
	}
	return true
}

func (e *Entry) requestReservation(c *call, p peerState) (reservationResponse, error) {
	request := reservationRequest{
		Fingerprint: c.fingerprint, Holder: c.reservationHolder,
		ForMs: (time.Until(c.deadline) + reservationMargin).Milliseconds(),
	}
	if p.self {
		return e.suspects.reserve(request, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
	defer cancel()
	var answer reservationResponse
	err := e.postToPeer(ctx, p.Peer, pathReservations, request, &answer)
	return answer, err
}

// releaseReservation releases the reservation at all reservers. It waits up to
// notifyTimeout for the other entries, so that a caller that resends at once finds
// the reservation free.
func (e *Entry) releaseReservation(c *call) {
	request := reservationRequest{Fingerprint: c.fingerprint, Holder: c.reservationHolder, Release: true}
	c.reservationHolder, c.exclusive = "", false
	var others []Peer
	for _, p := range e.peers.reservers(c.fingerprint) {
		if p.self {
			e.suspects.reserve(request, time.Now())
			continue
		}
		others = append(others, p.Peer)
	}
	e.notifyPeers(others, pathReservations, request)
}

func (e *Entry) postToPeer(ctx context.Context, peer Peer, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return e.requestPeer(ctx, http.MethodPost, peer, path, body, answer)
}
