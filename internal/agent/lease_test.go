package agent

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards the whole path: catalogue, fetch, order, read-back, answer.
func TestServesAfterLoad(t *testing.T) {
	run(t, nil, func(r *rig) {
		is := is.New(r.t)
		is.True(r.ask(setID("1")).whole())
		a := r.last()
		is.True(a.Ready && a.Confirmed && a.Revision == 1)
		is.Equal(a.Sets, []wire.LoadedSet{{Model: "m", Version: "1", SetID: setID("1")}})
		is.Equal(r.ask(setID("2")).status, http.StatusConflict)
		is.Equal(r.do(http.MethodPost, "/gate/v1/chat/completions", "{}", http.Header{}).reason, "invalid-attempt")
	})
}

// Guards against serving without a read quorum of voters: cut off from three of
// four, with unresolved voters, and with a voter set that changed meanwhile.
func TestNoServiceWithoutReadQuorum(t *testing.T) {
	cases := map[string]func(r *rig){
		"three of four cut off": func(r *rig) { r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, true) },
		"three unresolved": func(r *rig) {
			for _, c := range r.controls[1:] {
				c.Change(func(c *agenttest.Control) { c.Unresolved = true })
			}
		},
		"voters behind": func(r *rig) {
			r.accept(testCatalogue(2, "1"))
			time.Sleep(600 * time.Millisecond) // confirmed
			r.each(func(c *agenttest.Control) { c.Revision = 1 })
		},
		"new voter set out of reach": func(r *rig) {
			r.each(func(c *agenttest.Control) { c.VoterIndex, c.Voters = 2, []string{"c0", "x1", "x2"} })
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, nil, func(r *rig) {
				is := is.New(r.t)
				is.True(r.ask(setID("1")).whole())
				fault(r)
				time.Sleep(2100 * time.Millisecond)
				a := r.ask(setID("1"))
				is.Equal(a.outcome, "not-run")
				is.Equal(a.reason, "lease-expired")
				is.Equal(a.status, http.StatusServiceUnavailable)
			})
		})
	}
}

// Guards the choice of serving over acceptance: cut off from two of four
// voters, an endpoint continues.
func TestServesWithHalfOfTheVoters(t *testing.T) {
	run(t, nil, func(r *rig) {
		r.net.SetIsolated(agentHost, []string{"c2", "c3"}, true)
		time.Sleep(time.Minute)
		is.New(r.t).True(r.ask(setID("1")).whole())
	})
}

// Guards against an endpoint that serves before its first confirmation after a
// restart, or on a revision below the confirmed one.
func TestRestartServesNothingBeforeConfirmation(t *testing.T) {
	run(t, nil, func(r *rig) {
		is := is.New(r.t)
		r.stop()
		r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, true)
		r.start()
		time.Sleep(5 * time.Second)
		is.Equal(r.ask(setID("1")).reason, "never-confirmed")
		// Voters confirm revision 2; the reachable replica still has catalogue 1.
		r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, false)
		r.each(func(c *agenttest.Control) { c.Revision = 2 })
		time.Sleep(5 * time.Second)
		is.Equal(r.ask(setID("1")).reason, "behind")
		r.accept(testCatalogue(2, "1"))
		time.Sleep(2 * time.Second)
		is.True(r.ask(setID("1")).whole())
	})
}

// Guards against acting on a lower revision than before, and on a catalogue
// whose content does not match its digest.
func TestCatalogueNeverGoesBack(t *testing.T) {
	run(t, nil, func(r *rig) {
		is := is.New(r.t)
		r.accept(testCatalogue(3, ""))
		time.Sleep(time.Second)
		is.Equal(r.ask(setID("1")).reason, "model-withdrawn")
		forged := agenttest.Full(testCatalogue(4, "1"))
		forged.Digest = agenttest.Full(testCatalogue(2, "1")).Digest
		for _, message := range []wire.Catalogue{agenttest.Full(testCatalogue(2, "1")), forged} {
			r.each(func(c *agenttest.Control) { c.Catalogue = testCatalogue(0, "") }) // replicas that are behind
			for _, c := range r.controls {
				c.Send(message)
			}
			time.Sleep(time.Second)
			is.Equal(r.agent.state.revision(), uint64(3))
		}
	})
}
