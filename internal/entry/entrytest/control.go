package entrytest

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Control is a fake control replica. It applies commands to a ledger directly,
// without a replicated log.
type Control struct {
	Token string
	// Network, when set, replaces the operating system's network.
	Network network.Network
	// CommitDelay delays each commit.
	CommitDelay time.Duration
	// OnPropose, when set, may reply to a command in place of the ledger. A reply
	// without a status is not sent.
	OnPropose func(cmd ledger.Command) (wire.ProposeReply, bool)
	// Ledger applies the commands, as on a real replica. Start creates it.
	Ledger *ledger.Ledger

	server    *httptest.Server
	mu        sync.Mutex
	sessions  map[*transport.Session]bool
	members   wire.Members
	catalogue wire.Catalogue
	commands  []ledger.Command
}

// Start starts the server on a free port.
func (c *Control) Start() *Control {
	c.sessions = map[*transport.Session]bool{}
	c.members = wire.Members{Epoch: 1}
	c.Ledger = ledger.New()
	c.server = startServer(c.Network, &transport.Server{
		Handler:   c.handle,
		Authorize: func(r *http.Request) bool { return r.Header.Get("Authorization") == "Bearer "+c.Token },
		OnClose: func(s *transport.Session) {
			c.mu.Lock()
			delete(c.sessions, s)
			c.mu.Unlock()
		},
	})
	return c
}

// startServer panics if it cannot listen, as httptest does.
func startServer(n network.Network, handler http.Handler) *httptest.Server {
	server, err := memnet.StartServer(n, handler)
	if err != nil {
		panic(err)
	}
	return server
}

// Close closes all sessions and stops the server.
func (c *Control) Close() {
	c.mu.Lock()
	for s := range c.sessions {
		s.Close()
	}
	c.mu.Unlock()
	c.server.CloseClientConnections()
	c.server.Close()
}

// Address returns the IP and port for sessions.
func (c *Control) Address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// SetCatalogue sends a catalogue and suspected or quarantined requests to all
// entries.
func (c *Control) SetCatalogue(catalogue release.Catalogue, listed ...wire.QuarantinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catalogue = wire.Catalogue{Revision: catalogue.Revision, Digest: catalogue.Digest(), Full: &catalogue, Quarantined: listed}
	for s := range c.sessions {
		_ = s.Send(c.catalogue)
	}
}

// SetMembers sends the whole endpoint table to all entries.
func (c *Control) SetMembers(table ...wire.Announce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members.Version++
	c.members.Updated = table
	for s := range c.sessions {
		_ = s.Send(c.members)
	}
}

// Commands returns the commands applied so far.
func (c *Control) Commands() []ledger.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ledger.Command(nil), c.commands...)
}

// Apply applies a command to the ledger, as a commit does.
func (c *Control) Apply(cmd ledger.Command) ledger.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	cmd.AtMs = time.Now().UnixMilli()
	c.commands = append(c.commands, cmd)
	return c.Ledger.Apply(cmd)
}

func (c *Control) handle(_ context.Context, s *transport.Session, env wire.Envelope) {
	switch env.Type {
	case wire.TypeSubscribe:
		c.mu.Lock()
		c.sessions[s] = true
		if c.catalogue.Full != nil {
			_ = s.Send(c.catalogue)
		}
		_ = s.Send(c.members)
		c.mu.Unlock()
	case wire.TypePropose:
		var propose wire.Propose
		if env.Into(&propose) == nil {
			go c.commit(s, env, propose)
		}
	}
}

func (c *Control) commit(s *transport.Session, env wire.Envelope, propose wire.Propose) {
	var cmd ledger.Command
	if wire.Unmarshal(propose.Command, &cmd) != nil {
		return
	}
	time.Sleep(c.CommitDelay)
	if c.OnPropose != nil {
		if reply, answered := c.OnPropose(cmd); answered {
			if reply.Status != "" {
				_ = s.Reply(env, reply)
			}
			return
		}
	}
	data, err := wire.Marshal(c.Apply(cmd))
	if err == nil {
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeCommitted, Result: data})
	}
}
