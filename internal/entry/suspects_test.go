package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const crashingPrompt = "crashes at its fourth token"

// crashingGates returns gates that crash 320 ms after the start of the crashing
// request. Each runs one request at a time, so that copies of the request run on
// several endpoints.
func crashingGates(n int) []*entrytest.Gate {
	var gates []*entrytest.Gate
	for i := range n {
		g := engineGate(fmt.Sprintf("g%d", i))
		g.Capacity, g.PerToken = 1, 80*time.Millisecond
		g.Fault = func(_ *http.Request, body string) fault {
			if !strings.Contains(body, crashingPrompt) {
				return fault{}
			}
			return fault{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 4}
		}
		gates = append(gates, g)
	}
	return gates
}

// crashedEndpoints returns the endpoints with killed attempts.
func crashedEndpoints(gates []*entrytest.Gate) (lost []string) {
	for _, g := range gates {
		if g.KilledAttempts() > 0 {
			lost = append(lost, g.ID)
		}
	}
	return lost
}

func (c *cluster) awaitEntries(entries []*testEntry) {
	c.eventually("entries know each other", func() bool {
		for _, e := range entries {
			if !e.peers.allReportedSince(time.Now().Add(-peerExpiry)) {
				return false
			}
		}
		return true
	})
}

// Guards against copies of a crashing request that keep running on other endpoints
// after the first endpoint has crashed, with one entry and with several.
func TestConcurrentCopiesCrashAtMostTwoEndpoints(t *testing.T) {
	for _, entryCount := range []int{1, 3} {
		runVirtual(t, fmt.Sprint(entryCount), func(t *testing.T) {
			gates := crashingGates(7)
			c := newCluster(t, gates...)
			entries := c.addEntries(entryCount)
			c.awaitEntries(entries)
			var wg sync.WaitGroup
			for i := range 5 {
				wg.Go(func() { entries[i%entryCount].chat(i%2 == 0, crashingPrompt, wire.HeaderOrganisation, fmt.Sprint(i)) })
				time.Sleep(60 * time.Millisecond) // the last one starts before the first crash
			}
			wg.Wait()
			for i := range 2 * entryCount {
				entries[i%entryCount].chat(true, crashingPrompt)
			}
			crashed := crashedEndpoints(gates)
			t.Logf("crashed endpoints: %v", crashed)
			c.is.True(len(crashed) <= 2)
			c.is.True(len(crashed) > 0)
			c.is.True(entries[0].chat(true, "another request").done)
		})
	}
}

// Guards against a suspect that runs through several entries at once, on a different
// endpoint each.
func TestSuspectRunsAloneAtOneEntry(t *testing.T) {
	synctest.Test(t, testSuspectRunsAloneAtOneEntry)
}

func testSuspectRunsAloneAtOneEntry(t *testing.T) {
	gates := crashingGates(6)
	c := newCluster(t, gates...)
	entries := c.addEntries(3)
	c.awaitEntries(entries)
	fingerprint := quarantine.Fingerprint(pathChat, []byte(chatText(true, crashingPrompt)))
	c.control.SetCatalogue(testCatalogue(), wire.QuarantinedRequest{
		Fingerprint: fingerprint, Until: time.Now().Add(time.Hour).UnixMilli(), Crashed: []string{"elsewhere"},
	})
	for _, e := range entries {
		c.eventually("entry knows the suspect", func() bool {
			e.suspects.mu.Lock()
			defer e.suspects.mu.Unlock()
			return e.suspects.list.Check(fingerprint, time.Now()).Exclusive
		})
	}
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() { e.chat(true, crashingPrompt) })
	}
	wg.Wait()
	for _, e := range entries {
		c.is.Equal(e.chat(true, crashingPrompt).reason(), "quarantined")
	}
	c.is.Equal(len(crashedEndpoints(gates)), 1) // the second one, after "elsewhere"
}
