package agenttest

import (
	"context"
	"slices"
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// term is the Raft term that all fake voters report.
const term = 3

// Control is a fake control replica, a voter whose replies are set by its
// fields. While it serves, modify the fields only through Change.
type Control struct {
	Name       string
	Revision   uint64
	Unresolved bool
	Voters     []string
	VoterIndex uint64
	Catalogue  release.Catalogue
	// Members is the member table sent to subscribers. Nil sends none.
	Members *wire.Members

	mu        sync.Mutex
	sessions  map[*transport.Session]bool
	announced []wire.Announce
	proposed  []ledger.Command
}

// Handle handles the messages of a session. Use it as transport.Server.Handler.
func (c *Control) Handle(_ context.Context, s *transport.Session, env wire.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch env.Type {
	case wire.TypeSubscribe:
		if c.sessions == nil {
			c.sessions = map[*transport.Session]bool{}
		}
		c.sessions[s] = true
		_ = s.Send(FullCatalogue(c.Catalogue))
		if c.Members != nil {
			_ = s.Send(*c.Members)
		}
	case wire.TypeAnnounce:
		var a wire.Announce
		if env.Into(&a) == nil {
			c.announced = append(c.announced, a)
		}
	case wire.TypeConfirmRequest:
		var r wire.ConfirmRequest
		if env.Into(&r) == nil {
			_ = s.Send(wire.ConfirmReply{
				Mark: r.Mark, Replica: c.Name, Revision: c.Revision, Unresolved: c.Unresolved,
				Voters: c.Voters, VoterIndex: c.VoterIndex, Term: term,
			})
		}
	case wire.TypePropose:
		c.commit(s, env)
	}
}

// commit records a proposed command and replies that it is committed.
func (c *Control) commit(s *transport.Session, env wire.Envelope) {
	var p wire.Propose
	var cmd ledger.Command
	if env.Into(&p) != nil || wire.Unmarshal(p.Command, &cmd) != nil {
		return
	}
	c.proposed = append(c.proposed, cmd)
	result, err := wire.Marshal(ledger.Result{Status: ledger.StatusAccepted})
	if err == nil {
		_ = s.Reply(env, wire.ProposeReply{Status: wire.ProposeCommitted, Result: result})
	}
}

// FullCatalogue returns a message that carries the complete catalogue.
func FullCatalogue(c release.Catalogue) wire.Catalogue {
	return wire.Catalogue{Revision: c.Revision, Digest: c.Digest(), Full: &c}
}

// Change modifies the fields while the replica serves.
func (c *Control) Change(f func(c *Control)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// Send sends a message to all subscribers.
func (c *Control) Send(msg wire.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		_ = s.Send(msg)
	}
}

// Announced returns the announcements received so far.
func (c *Control) Announced() []wire.Announce {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.announced)
}

// Proposed returns the commands received so far.
func (c *Control) Proposed() []ledger.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.proposed)
}
