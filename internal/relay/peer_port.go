package relay

import (
	"net/netip"
	"sync"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/datagram"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// peerPort sends and receives the messages between entries.
type peerPort struct {
	port *datagram.Conn[peerMessage]
	log  log.Interface
	self string

	mu        sync.Mutex
	addresses map[string]netip.AddrPort // by name of the entry
}

// setAddresses replaces the addresses of the other entries.
func (p *peerPort) setAddresses(processes []wire.Process) {
	addresses := map[string]netip.AddrPort{}
	for _, process := range processes {
		if process.Name == p.self || process.PeerAddress == "" {
			continue
		}
		address, err := netip.ParseAddrPort(process.PeerAddress)
		if err != nil {
			p.log.WithError(err).WithField("entry", process.Name).Warn("peer_address_malformed")
			continue
		}
		addresses[process.Name] = address
	}
	p.mu.Lock()
	p.addresses = addresses
	p.mu.Unlock()
}

func (p *peerPort) send(to string, m peerMessage) {
	p.mu.Lock()
	address, ok := p.addresses[to]
	p.mu.Unlock()
	if ok { // an entry that has left has no address; the sender asks another one
		m.From = p.self
		p.port.Send(address, m)
	}
}
