package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// loadCase is a drawn state of a stager and its engine.
type loadCase struct {
	loaded, orders uint64
	named          int             // versions 1 to named are named, one after the other
	ages           []time.Duration // of the names
	pieces         [4]int          // held of each version
	peers          int             // other stagers of the zone
}

func drawLoadCase(t *rapid.T) loadCase {
	c := loadCase{named: rapid.IntRange(2, 3).Draw(t, "named"), loaded: uint64(rapid.SampledFrom([]int{1, 1, 0, 2, 3}).Draw(t, "loaded"))}
	c.peers = rapid.IntRange(1, 4).Draw(t, "peers")
	c.orders = uint64(rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "orders"))
	age := time.Duration(0)
	for range c.named {
		age += time.Duration(rapid.IntRange(0, 8000).Draw(t, "age")) * time.Millisecond
		c.ages = append([]time.Duration{age}, c.ages...)
	}
	for v := 1; v <= 3; v++ {
		c.pieces[v] = rapid.SampledFrom([]int{0, 3, testPieces, testPieces}).Draw(t, "pieces")
	}
	return c
}

// stager returns a stager in the state of the case, with its engine.
func (c loadCase) stager() (*Daemon, *fakeEngine) {
	e := newFakeEngine()
	e.loaded, e.orders = c.loaded, c.orders
	d := testDaemon(e)
	start := time.Now()
	d.named = func(string) []fleetclient.NamedVersion {
		var list []fleetclient.NamedVersion
		for i, age := range c.ages {
			list = append(list, fleetclient.NamedVersion{Version: uint64(i + 1), Since: start.Add(-age)})
		}
		return list
	}
	d.processes = func() []wire.Process {
		list := []wire.Process{{Name: d.settings.Instance, Service: d.settings.Service, Zone: d.settings.Zone, Region: d.settings.Region, PeerAddress: "127.0.0.1:2"}}
		for i := range c.peers {
			p := list[0]
			p.Name, p.PeerAddress = fmt.Sprint("peer-", i), fmt.Sprint("127.0.0.1:", 10+i)
			list = append(list, p)
		}
		return list
	}
	for v := uint64(1); v <= 3; v++ {
		if c.pieces[v] == 0 {
			continue
		}
		held := newCopy(listOf(v))
		for i := range c.pieces[v] {
			_ = held.put(i, pieceOf(v, i)) // the digest is right
		}
		d.store.add(held)
	}
	report, _ := e.Report(context.Background(), "") // never fails
	d.loaded.Store(c.loaded)
	d.lastReport.Store(&engineState{layers: testLayers, trusted: d.trusts(report), at: start})
	return d, e
}

// check returns the step that was explained, and how it differs from what the stager then does.
func (c loadCase) check(t *testing.T) (step, problem string) {
	d, e := c.stager()
	state := func() string {
		d.store.mu.Lock()
		defer d.store.mu.Unlock()
		return fmt.Sprint(d.loaded.Load(), *d.lastReport.Load(), d.verified, d.rejected, d.writes, d.replacement.Load(), len(d.store.copies), d.fetching, d.lastProgress, e.orders, len(e.staged))
	}
	before := state()
	told := d.explainTarget(explain.Load{}, version2, time.Now())
	if after := state(); after != before {
		return "", fmt.Sprintf("the explanation changed %s to %s", before, after)
	}
	ordersBefore, verifiedBefore := e.orders, fmt.Sprint(d.verified, d.rejected)
	until, err := d.reconcile(t.Context(), version2)
	if err != nil && told.Step != stepVerify.String() {
		return "", fmt.Sprintf("%+v: %v", told, err)
	}
	done := stepNone.String()
	switch {
	case e.orders > ordersBefore && e.layers < testLayers:
		done = stepUnload.String()
	case e.orders > ordersBefore:
		done = stepLoad.String()
		if e.loaded != told.Next {
			return "", fmt.Sprintf("explained %+v, loaded %d", told, e.loaded)
		}
	case fmt.Sprint(d.verified, d.rejected) != verifiedBefore:
		done = stepVerify.String()
	case told.DueInMs > 0 && told.Step == stepWait.String():
		if until > time.Duration(told.DueInMs+1)*time.Millisecond {
			return "", fmt.Sprintf("explained %+v, waits %v", told, until)
		}
		done = stepWait.String()
	}
	if done != told.Step && !(done == stepNone.String() && told.Step == stepVerify.String()) { // the copy to compare with is missing
		return "", fmt.Sprintf("explained %+v, but it was %s", told, done)
	}
	return told.Step, ""
}

// Guards against an explanation of a load that changes state, or that differs from what the stager
// then does.
func TestLoadExplanationAgreesWithLoads(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		c := drawLoadCase(rt)
		var step, problem string
		synctest.Test(t, func(t *testing.T) { step, problem = c.check(t) })
		if problem != "" {
			rt.Fatal(problem)
		}
		seen[step]++
	})
	for _, step := range []loadStep{stepNone, stepWait, stepVerify, stepLoad, stepUnload} {
		if seen[step.String()] == 0 {
			t.Errorf("no drawn state led to %v", step)
		}
	}
	t.Log(seen)
}

// Guards against an explanation without the state of copies and turns.
func TestLoadExplanationNamesVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := loadCase{loaded: 1, named: 2, ages: []time.Duration{time.Minute, time.Second}, pieces: [4]int{0, testPieces, 3, 0}}
		d, _ := c.stager()
		told := d.explainTarget(explain.Load{}, version2, time.Now())
		is.Equal(told.Step, "none")
		is.Equal(told.Why, "no named version above 1 is complete")
		is.Equal(told.Versions[1], explain.Version{Version: 2, Named: true, NamedAgeMs: 1000, Pieces: 3, Total: testPieces})
		is.True(told.Versions[0].Complete)
		for i := range testPieces {
			_ = d.store.get(2).put(i, pieceOf(2, i))
		}
		told = d.explainTarget(explain.Load{}, version2, time.Now())
		is.Equal(told.Next, uint64(2))
		is.Equal(told.Step, "load") // the only stager of its zone: the first turn
		d.loaded.Store(2)
		is.Equal(d.explainTarget(explain.Load{}, version2, time.Now()).Why, "the engine holds version 2, the newest named one")
	})
}

// Guards against an admin port without the explanation, or without metrics beside it.
func TestAdminPortExplains(t *testing.T) {
	is := is.New(t)
	d := testDaemon(newFakeEngine())
	w := httptest.NewRecorder()
	d.adminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.PathLoad, nil))
	var told explain.Load
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &told))
	is.Equal(told.Stager, "side-1")
	is.Equal(told.Why, "the routing document does not describe the engine yet")
	w = httptest.NewRecorder()
	d.adminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(w.Code, http.StatusOK)
}
