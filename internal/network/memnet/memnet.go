// Package memnet is an in-memory network with injected faults, for tests that
// run daemons in one process and under virtual time.
//
// Each process uses a Host. The link between two hosts can have a delay and can be
// cut in one direction or both. No side sees an error then: data waits, as with
// TCP retransmission, and arrives after the link is healed. Stopping a host resets
// its connections.
package memnet

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	acceptBacklog = 128
	// dialTimeout is the same as in network.System.
	dialTimeout = time.Second
)

// Network connects hosts.
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*listener // by address
	conns        map[*conn]struct{}
	links        map[link]*linkStatus
	incarnations map[string]uint64 // stops of each host; a Host with an earlier number is dead
	onWrite      func(from, to string, data []byte)
	lastPort     int                      // last port assigned to a listener on port 0
	frozen       map[string]chan struct{} // by host; closed by Thaw
}

type link struct{ from, to string }

type linkStatus struct {
	delay time.Duration
	cut   bool
}

// New returns a network without hosts.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, links: map[link]*linkStatus{}, incarnations: map[string]uint64{}, frozen: map[string]chan struct{}{}}
}

// Host is the network as seen by one process. It implements network.Network.
// After Stop it can no longer listen or dial; a restarted process needs a new one.
type Host struct {
	net         *Network
	name        string
	incarnation uint64
}

// Host returns the network for a process that starts now on the named host.
func (n *Network) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{net: n, name: name, incarnation: n.incarnations[name]}
}

// Tap calls f for every write before its data is sent. f must not write to a
// connection of the network.
func (n *Network) Tap(f func(from, to string, data []byte)) {
	n.mu.Lock()
	n.onWrite = f
	n.mu.Unlock()
}

// SetDelay sets the one-way delay between two hosts, for both directions.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mu.Lock()
	n.link(a, b).delay = delay
	n.link(b, a).delay = delay
	n.mu.Unlock()
}

// Cut stops data from one host to another without an error on either side.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal reverts Cut. Data written in the meantime arrives.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

// SetIsolated cuts or heals the links between a host and the others in both
// directions.
func (n *Network) SetIsolated(host string, others []string, cut bool) {
	for _, other := range others {
		if other != host {
			n.setCut(host, other, cut)
			n.setCut(other, host, cut)
		}
	}
}

func (n *Network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).cut = cut
	for c := range n.conns {
		c.received.notify()
	}
}

func (n *Network) link(from, to string) *linkStatus {
	l := link{from, to}
	if n.links[l] == nil {
		n.links[l] = &linkStatus{}
	}
	return n.links[l]
}

func (n *Network) linkState(from, to string) linkStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.link(from, to)
}

// Freeze holds back all data to and from a host, while writes and dials of its
// peers succeed, as with a suspended process. Unlike in a suspended process, its
// timers continue.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw reverts Freeze.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed := n.frozen[host]; thawed != nil {
		close(thawed)
		delete(n.frozen, host)
	}
	for c := range n.conns {
		c.received.notify()
	}
}

// awaitThaw blocks until the host is not frozen.
func (n *Network) awaitThaw(host string) {
	n.mu.Lock()
	thawed := n.frozen[host]
	n.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// blocked reports whether data from one host to another is held back.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to).cut || n.frozen[from] != nil || n.frozen[to] != nil
}

// Stop resets all connections of a host and closes its listeners, as when a
// process ends. Peers that the host cannot reach because of a cut link see no
// reset.
func (n *Network) Stop(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnations[host]++
	for address, l := range n.listeners {
		if l.host == host {
			delete(n.listeners, address)
			l.closeOnce.Do(func() { close(l.closed) })
		}
	}
	for c := range n.conns {
		switch {
		case c.local == host:
			c.received.fail(net.ErrClosed)
		case c.remote == host && !n.link(host, c.local).cut:
			c.received.fail(syscall.ECONNRESET)
		default:
			continue
		}
		delete(n.conns, c)
	}
}

// Listen implements network.Network. Port 0 selects a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.stopped() {
		return nil, &net.OpError{Op: "listen", Err: net.ErrClosed}
	}
	if host, ok := strings.CutSuffix(address, ":0"); ok {
		h.net.lastPort++
		address = host + ":" + strconv.Itoa(h.net.lastPort)
	}
	if _, taken := h.net.listeners[address]; taken {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{net: h.net, host: h.name, address: addr(address), queue: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	h.net.listeners[address] = l
	return l, nil
}

// DialContext implements network.Network. If the link is cut in either direction,
// it blocks until the dial times out. Without a listener at the address, it returns
// ECONNREFUSED.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.net.awaitThaw(h.name)
	h.net.mu.Lock()
	l, ok := h.net.listeners[address]
	stopped := h.stopped()
	h.net.mu.Unlock()
	if stopped {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	out, back := h.net.linkState(h.name, l.host), h.net.linkState(l.host, h.name)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if out.cut || back.cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	if err := sleep(ctx, out.delay+back.delay); err != nil {
		return nil, &net.OpError{Op: "dial", Err: err}
	}
	return h.connect(l)
}

// Stopped reports whether the host was stopped since h was created.
func (h *Host) Stopped() bool {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.stopped()
}

// stopped is like Stopped. The caller must hold h.net.mu.
func (h *Host) stopped() bool { return h.incarnation != h.net.incarnations[h.name] }

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Host) connect(l *listener) (net.Conn, error) {
	client, server := newConnPair(h.net, h.name, l.host, l.address)
	h.net.mu.Lock()
	stopped := h.stopped()
	if !stopped {
		h.net.conns[client] = struct{}{}
		h.net.conns[server] = struct{}{}
	}
	h.net.mu.Unlock()
	if stopped {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	select {
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	default:
	}
	select {
	case l.queue <- server:
	default:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	select {
	case <-l.closed:
		l.resetQueued()
	default:
	}
	return client, nil
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

type listener struct {
	net       *Network
	host      string
	address   addr
	queue     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// resetQueued closes connections that were not accepted yet, as the operating
// system does when a listener closes.
func (l *listener) resetQueued() {
	for {
		select {
		case c := <-l.queue:
			_ = c.Close()
		default:
			return
		}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		l.net.awaitThaw(l.host)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.net.mu.Lock()
	if l.net.listeners[string(l.address)] == l {
		delete(l.net.listeners, string(l.address))
	}
	l.net.mu.Unlock()
	l.closeOnce.Do(func() { close(l.closed) })
	l.resetQueued()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
