package entry

import (
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// peerExpiry is the time without contact after which another entry is left out
// of address answers.
const peerExpiry = 3 * time.Second

// usage is what entries tell each other.
type usage struct {
	Name     string                  `json:"name"`
	Stopping bool                    `json:"stopping"`
	InFlight int                     `json:"in_flight"`
	Slots    int                     `json:"slots"`
	Pools    map[string]poolUsageMap `json:"pools,omitempty"`
}

// poolUsageMap gives the demand of each organisation in a pool.
type poolUsageMap map[string]organisationUsage

type organisationUsage struct {
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// peerState is an entry as this one sees it.
type peerState struct {
	Peer
	load  float64
	heard time.Time
	last  usage
	self  bool
}

// peers holds the entries named in the settings.
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
	return p
}

// serving returns the entries that callers may use. Before the first exchange
// had time to finish, every entry counts.
func (p *peers) serving(now time.Time) []peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peerState
	for _, s := range p.list {
		fresh := now.Sub(s.heard) < peerExpiry || now.Sub(p.started) < peerExpiry && s.heard.IsZero()
		if !s.last.Stopping && (s.self || fresh) {
			list = append(list, *s)
		}
	}
	return list
}

// others returns the entries but this one.
func (p *peers) others() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Peer
	for _, s := range p.list {
		if !s.self {
			list = append(list, s.Peer)
		}
	}
	return list
}

// heard records a peer's report.
func (p *peers) heard(name string, u usage, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.Name == name {
			s.last, s.heard = u, now
			s.load = float64(u.InFlight) / float64(max(1, u.Slots))
		}
	}
}

// spread gives equally ranked entries an order that differs between callers.
func spread(name string, r *http.Request) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.RemoteAddr + "/" + name))
	return h.Sum64()
}
