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

// A suspect runs alone, at one entry at a time. The entry that wants to run it
// reserves the run with all entries, or with maxReservers of them that its
// fingerprint selects. Each grants one reservation at a time, so two entries
// cannot hold it together, and one that restarts and forgets its grant does not
// change that while another remembers. An entry whose connection is refused, or
// that was not heard of for usageExpiry, is left out: it may be gone for good.
// Entries that are cut off from each other for longer than that can therefore
// each run a suspect.

// pathReservations is served to other entries, with the process token.
const pathReservations = "/entry/reservations"

const (
	maxReservers = 8
	// reservationMargin is how long a reservation that is not given back outlives
	// the deadline of its request.
	reservationMargin = time.Second
)

// reservation is the right to run a suspect alone.
type reservation struct {
	holder string
	until  time.Time
}

// reservationRequest asks for a reservation, or gives it back.
type reservationRequest struct {
	Fingerprint string `json:"fingerprint"`
	Holder      string `json:"holder"`
	ForMs       int64  `json:"for_ms"`
	Release     bool   `json:"release,omitempty"`
}

// reservationResponse names the endpoints that the answering entry knows to be
// lost to the suspect.
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

// reservers returns the entries that grant the reservations of a fingerprint.
// All ask them in the same order, so that of two that ask at once one wins.
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

// reserve takes the reservation of the call's single run. What is taken stays
// with the call until releaseReservation, also when another entry refuses.
func (e *Entry) reserve(c *call) bool {
	c.reservationHolder = e.attempts.Next().String()
	for _, p := range e.peers.reservers(c.fingerprint) {
		answer, err := e.requestReservation(c, p)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), err != nil && e.peers.timedOut(p.Name, time.Now()):
			continue
		case err != nil || !answer.Granted:
			e.releaseReservation(c)
			return false
		}
		for _, endpoint := range answer.Lost {
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

// releaseReservation gives the reservation back. It waits for the other entries
// for tellTimeout at most, so that a caller that resends at once finds it free.
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
