package agent

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Covers the whole path: catalogue, fetch, load order, status check and answer.
func TestServesAfterLoad(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		is.True(r.send(setID("1")).complete())
		a := r.lastAnnouncement()
		is.True(a.Ready && a.Confirmed && a.Revision == 1)
		is.Equal(a.Sets, []wire.LoadedSet{{Model: "m", Version: "1", SetID: setID("1")}})
		is.Equal(r.send(setID("2")).status, http.StatusConflict)
		is.Equal(r.do(http.MethodPost, "/gate/v1/chat/completions", "{}", http.Header{}).reason, "invalid-attempt")
	})
}

// Guards against serving without confirmation by a read quorum of voters: with
// three of four voters unreachable, unresolved or behind, or after a change of
// the voter set.
func TestNoServiceWithoutReadQuorum(t *testing.T) {
	cases := map[string]func(r *harness){
		"three of four cut off": func(r *harness) { r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, true) },
		"three unresolved": func(r *harness) {
			for _, c := range r.controls[1:] {
				c.Change(func(c *agenttest.Control) { c.Unresolved = true })
			}
		},
		"voters behind": func(r *harness) {
			r.setCatalogue(testCatalogue(2, "1"))
			time.Sleep(600 * time.Millisecond) // confirmed
			r.changeControls(func(c *agenttest.Control) { c.Revision = 1 })
		},
		"new voter set out of reach": func(r *harness) {
			r.changeControls(func(c *agenttest.Control) { c.VoterIndex, c.Voters = 2, []string{"c0", "x1", "x2"} })
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			runHarness(t, nil, func(r *harness) {
				is := is.New(r.t)
				is.True(r.send(setID("1")).complete())
				fault(r)
				time.Sleep(2100 * time.Millisecond)
				a := r.send(setID("1"))
				is.Equal(a.outcome, "not-run")
				is.Equal(a.reason, "lease-expired")
				is.Equal(a.status, http.StatusServiceUnavailable)
			})
		})
	}
}

// Guards the choice of quorums that favours serving over accepting changes: an
// endpoint continues to serve while it reaches two of four voters.
func TestServesWithHalfOfTheVoters(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		r.net.SetIsolated(agentHost, []string{"c2", "c3"}, true)
		time.Sleep(time.Minute)
		is.New(r.t).True(r.send(setID("1")).complete())
	})
}

// Guards against an endpoint that serves before its first confirmation after a
// restart, or on a revision below the confirmed one.
func TestRestartServesNothingBeforeConfirmation(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		r.stop()
		r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, true)
		r.start()
		time.Sleep(5 * time.Second)
		is.Equal(r.send(setID("1")).reason, "never-confirmed")
		// Voters confirm revision 2; the reachable replica still has catalogue
		// 1.
		r.net.SetIsolated(agentHost, []string{"c1", "c2", "c3"}, false)
		r.changeControls(func(c *agenttest.Control) { c.Revision = 2 })
		time.Sleep(5 * time.Second)
		is.Equal(r.send(setID("1")).reason, "behind")
		r.setCatalogue(testCatalogue(2, "1"))
		time.Sleep(2 * time.Second)
		is.True(r.send(setID("1")).complete())
	})
}

// Guards against applying a catalogue with a lower revision than the current
// one, or one whose content does not match its digest.
func TestCatalogueNeverGoesBack(t *testing.T) {
	runHarness(t, nil, func(r *harness) {
		is := is.New(r.t)
		r.setCatalogue(testCatalogue(3, ""))
		time.Sleep(time.Second)
		is.Equal(r.send(setID("1")).reason, "model-withdrawn")
		forged := agenttest.FullCatalogue(testCatalogue(4, "1"))
		forged.Digest = agenttest.FullCatalogue(testCatalogue(2, "1")).Digest
		for _, message := range []wire.Catalogue{agenttest.FullCatalogue(testCatalogue(2, "1")), forged} {
			r.changeControls(func(c *agenttest.Control) { c.Catalogue = testCatalogue(0, "") }) // replicas that are behind
			for _, c := range r.controls {
				c.Send(message)
			}
			time.Sleep(time.Second)
			is.Equal(r.agent.state.revision(), uint64(3))
		}
	})
}
