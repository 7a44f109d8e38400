package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/admission"
)

const (
	// exchangeInterval is the interval at which an entry polls others for their usage.
	exchangeInterval = 200 * time.Millisecond
	exchangeTimeout  = 500 * time.Millisecond
	// maxExchangePeers limits the entries polled. With more entries, each polls those
	// that follow it on the ring and treats them as a sample of all.
	maxExchangePeers = 8
	// peerExpiry is the time without contact after which another entry is omitted
	// from address lists. Together with the TTL of a list it must not exceed the 3 s
	// after which a draining server receives no new work.
	peerExpiry = time.Second
	// usageExpiry is how long the last report of an entry that does not respond
	// still counts as its demand. The report of an entry that refuses connections is
	// ignored at once.
	usageExpiry = 10 * time.Second
)

// pathUsage is served to other entries and requires the process token.
const pathUsage = "/entry/usage"

// usage is the load and demand report that entries exchange.
type usage struct {
	Name     string                      `json:"name"`
	Stopping bool                        `json:"stopping"`
	InFlight int                         `json:"in_flight"`
	Slots    int                         `json:"slots"`
	Pools    map[string]admission.Report `json:"pools,omitempty"`
}

// peerState is this entry's view of an entry, itself included.
type peerState struct {
	Peer
	load      float64
	lastSeen  time.Time
	lastUsage usage
	self      bool
	// connRefused is true while the peer refuses connections.
	connRefused bool
}

// peers holds the state of all entries named in the settings, and this one.
type peers struct {
	mu      sync.Mutex
	list    []*peerState
	started time.Time
}

func newPeers(s Settings, now time.Time) *peers {
	p := &peers{started: now}
	self := false
	for _, peer := range s.Entries {
		p.list = append(p.list, &peerState{Peer: peer, self: peer.Name == s.Instance})
		self = self || peer.Name == s.Instance
	}
	if !self {
		p.list = append(p.list, &peerState{Peer: Peer{Name: s.Instance, Address: s.Advertise, Zone: s.Zone}, self: true})
	}
	sortRing(p.list)
	return p
}

// serving returns the entries that callers may use. Entries not yet heard from are
// included for peerExpiry after the start, until the first exchange is done.
func (p *peers) serving(now time.Time) []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peerState
	for _, s := range p.list {
		fresh := now.Sub(s.lastSeen) < peerExpiry || now.Sub(p.started) < peerExpiry && s.lastSeen.IsZero()
		if !s.lastUsage.Stopping && !s.connRefused && (s.self || fresh) {
			list = append(list, *s)
		}
	}
	return list
}

// count returns the number of entries, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}

// allReportedSince reports whether every other entry has reported since start or
// refuses connections.
func (p *peers) allReportedSince(start time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if !s.self && !s.connRefused && s.lastSeen.Before(start) {
			return false
		}
	}
	return true
}

// exchangeTargets returns the entries that this one polls for their usage.
func (p *peers) exchangeTargets() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var before, after []Peer
	afterSelf := false
	for _, s := range p.list {
		switch {
		case s.self:
			afterSelf = true
		case afterSelf:
			after = append(after, s.Peer)
		default:
			before = append(before, s.Peer)
		}
	}
	ring := append(after, before...)
	return ring[:sampleSize(len(ring))]
}

// sampledSlots returns the part of a pool's slots that this entry and its exchange
// targets divide among themselves.
func (p *peers) sampledSlots(slots int) int {
	entries := p.count()
	return sampledSlots(slots, sampleSize(entries-1)+1, entries)
}

// recordUsage records a peer's usage report.
func (p *peers) recordUsage(name string, u usage, now time.Time) {
	p.update(name, func(s *peerState) {
		s.lastUsage, s.lastSeen, s.connRefused = u, now, false
		s.load = float64(u.InFlight) / float64(max(1, u.Slots))
	})
}

// timedOut reports whether a peer has not reported for usageExpiry.
func (p *peers) timedOut(name string, now time.Time) bool {
	expired := false
	p.update(name, func(s *peerState) {
		expired = now.Sub(s.lastSeen) >= usageExpiry && now.Sub(p.started) >= usageExpiry
	})
	return expired
}

// recordConnRefused records that a peer refused a connection, so its process does
// not run.
func (p *peers) recordConnRefused(name string) {
	p.update(name, func(s *peerState) { s.connRefused = true })
}

func (p *peers) update(name string, f func(*peerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.Name == name && !s.self {
			f(s)
		}
	}
}

// setOwnUsage sets this entry's own usage, for address lists.
func (p *peers) setOwnUsage(u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.self {
			s.lastUsage = u
			s.load = float64(u.InFlight) / float64(max(1, u.Slots))
		}
	}
}

// demandReports returns the other entries' demand in a pool. Just after the start,
// an entry not yet heard from counts as idle, so that its share of the spare slots
// stays free.
func (p *peers) demandReports(pool string, now time.Time) map[string]admission.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := map[string]admission.Report{}
	for _, s := range p.list {
		fresh := now.Sub(s.lastSeen) < usageExpiry || now.Sub(p.started) < peerExpiry
		if !s.self && !s.connRefused && fresh {
			reports[s.Name] = s.lastUsage.Pools[pool]
		}
	}
	return reports
}

// exchangeUsage polls the exchange targets for their usage until ctx ends.
func (e *Entry) exchangeUsage(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		started := time.Now()
		for _, peer := range e.peers.exchangeTargets() {
			wg.Go(func() { e.fetchUsage(ctx, peer) })
		}
		wg.Wait()
		if e.peers.allReportedSince(started) {
			e.admitter.rebalance(time.Now())
		}
		e.admitter.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Entry) fetchUsage(ctx context.Context, peer Peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var u usage
	switch err := e.getFromPeer(ctx, peer, pathUsage, &u); {
	case err == nil && u.Name == peer.Name:
		e.peers.recordUsage(peer.Name, u, time.Now())
	case errors.Is(err, syscall.ECONNREFUSED):
		e.peers.recordConnRefused(peer.Name)
	}
}

// getFromPeer sends a GET request to another entry and decodes its response.
func (e *Entry) getFromPeer(ctx context.Context, peer Peer, path string, out any) error {
	return e.requestPeer(ctx, http.MethodGet, peer, path, nil, out)
}

func (e *Entry) requestPeer(ctx context.Context, method string, peer Peer, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+peer.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+e.processToken.Secret())
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New("peer returned " + response.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}

func (e *Entry) refreshOwnUsage() usage {
	pools := e.admitter.demand()
	u := usage{
		Name: e.settings.Instance, Stopping: e.stopping.Load(),
		InFlight: int(e.inFlight.Load()), Pools: pools, Slots: e.fleet.totalSlots(),
	}
	e.peers.setOwnUsage(u)
	return u
}

func (e *Entry) serveUsage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.refreshOwnUsage())
}

// find returns the entry with the given name.
func (p *peers) find(name string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.Name == name {
			return s.Peer, true
		}
	}
	return Peer{}, false
}

// serveAttempt reports to another entry whether an attempt is in flight here.
func (e *Entry) serveAttempt(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, attemptStatusResponse{Running: e.inFlightCalls.isRunning(mux.Vars(r)["id"])})
}

// tieBreakHash orders equally ranked entries differently for each caller.
func tieBreakHash(name string, r *http.Request) uint64 {
	return hashString(r.RemoteAddr + "/" + name)
}

func hashString(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
