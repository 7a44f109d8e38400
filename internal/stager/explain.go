package stager

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/fleetclient"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
)

// engineState is what the decision about the next load takes from a report of the engine.
type engineState struct {
	loading   bool
	unloading bool      // loading, after an order to give up weights
	layers    int       // of the model
	trusted   bool      // the weights were verified
	at        time.Time // of the report
}

// loadStep is what a stager does next for its engine.
type loadStep uint8

const (
	stepNone loadStep = iota
	stepWait          // until the load is due
	stepVerify
	stepAwaitLoad // the engine is still loading
	stepLoad
	stepUnload // the weights may not be used any more
	stepAwaitUnload
)

func (s loadStep) String() string {
	return [...]string{"none", "wait", "verify", "await-load", "load", "unload", "await-unload"}[s]
}

// loadDecision is what a stager does next, and the load that is planned, if any.
type loadDecision struct {
	step    loadStep
	due     plannedLoad
	planned bool
	// unloadAt is when the engine must give up its weights; zero if no newer ones were named.
	unloadAt time.Time
}

// limitWait limits a wait to the time that is left until the engine must give up its weights.
func (n loadDecision) limitWait(wait time.Duration, now time.Time) time.Duration {
	if !n.unloadAt.After(now) { // also if there is none
		return wait
	}
	return min(wait, n.unloadAt.Sub(now))
}

// decide returns what to do next for the engine. It changes no state. There is at least one named
// version.
func (d *Daemon) decide(named []fleetclient.NamedVersion, state engineState, now time.Time) loadDecision {
	loaded := d.loaded.Load()
	due, ok := nextLoad(loaded, named, d.completedAt, d.loadTime, d.newerArriving, d.unloadAge(), now)
	next := loadDecision{due: due, planned: ok, unloadAt: d.unloadTime(loaded, state.layers, named)}
	waits := !ok || due.at.After(now)
	unloadAt := next.unloadAt
	if !waits { // the load replaces the weights, unless it fails
		unloadAt = unloadAt.Add(loadGrace)
	}
	switch {
	case state.unloading:
		next.step = stepAwaitUnload
	case !state.loading && !next.unloadAt.IsZero() && !unloadAt.After(now):
		next.step = stepUnload
	case waits && !state.trusted && !state.loading && loaded != 0:
		next.step = stepVerify
	case !ok:
		next.step = stepNone
	case waits:
		next.step = stepWait
	case state.loading:
		next.step = stepAwaitLoad
	default:
		next.step = stepLoad
	}
	return next
}

// adminHandler returns the handler of the admin port: metrics, health, and GET /explain/load, which
// tells what would be loaded next.
func (d *Daemon) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(explain.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.explain(time.Now())) // fails only if the client disconnected
	}).Methods(http.MethodGet)
	r.PathPrefix("/").Handler(metrics.AdminHandler(d.registry, func() error { return nil }))
	return r
}

// explain tells what the stager would do next. It asks nobody and changes nothing.
func (d *Daemon) explain(now time.Time) explain.Load {
	answer := explain.Load{Stager: d.settings.Instance, Engine: d.settings.Engine, At: now, Step: stepNone.String(), Loaded: d.loaded.Load(), ReportAgeMs: -1, Versions: []explain.Version{}}
	t, ok := d.target()
	if !ok {
		answer.Why = "the routing document does not describe the engine yet"
		return answer
	}
	return d.explainTarget(answer, t, now)
}

func (d *Daemon) explainTarget(answer explain.Load, t target, now time.Time) explain.Load {
	answer.Model = t.model
	named := d.namedVersions(t.model)
	answer.Versions = d.explainVersions(named, now)
	report := d.lastReport.Load()
	if report == nil {
		answer.Why = "the engine has not reported yet"
		return answer
	}
	answer.Loading, answer.Trusted, answer.ReportAgeMs = report.loading, report.trusted, now.Sub(report.at).Milliseconds()
	next := d.decide(named, *report, now)
	answer.Step = next.step.String()
	if next.planned {
		answer.Next, answer.DueInMs, answer.Turn = next.due.version, max(0, next.due.at.Sub(now)).Milliseconds(), d.loadOffset(next.due.version)
	}
	answer.Why = d.reason(next, named, now)
	return answer
}

// reason tells in words why a step is next.
func (d *Daemon) reason(next loadDecision, named []fleetclient.NamedVersion, now time.Time) string {
	loaded, newest := d.loaded.Load(), named[len(named)-1].Version
	switch next.step {
	case stepVerify:
		return fmt.Sprintf("the engine holds version %d, whose load was not verified", loaded)
	case stepWait:
		if next.due.version != newest {
			return fmt.Sprintf("version %d is complete, and version %d is not; an older version waits in case the newest arrives", next.due.version, newest)
		}
		return fmt.Sprintf("version %d is complete and waits for its turn", next.due.version)
	case stepAwaitLoad:
		return "the engine is loading"
	case stepAwaitUnload:
		return "the engine gives up superseded weights once its requests have ended"
	case stepUnload:
		return fmt.Sprintf("version %d was superseded %d ms ago, and requests may begin on it for %d ms", loaded, now.Sub(fleetclient.SupersededAt(named, loaded)).Milliseconds(), d.settings.WeightsBound.Std().Milliseconds())
	case stepLoad:
		if loaded == 0 {
			return fmt.Sprintf("the engine holds no complete version, and version %d is complete", next.due.version)
		}
		return fmt.Sprintf("version %d is complete and its turn has come", next.due.version)
	}
	if loaded >= newest {
		return fmt.Sprintf("the engine holds version %d, the newest named one", loaded)
	}
	return fmt.Sprintf("no named version above %d is complete", loaded)
}

// explainVersions lists the named versions and the copies that are held, oldest first.
func (d *Daemon) explainVersions(named []fleetclient.NamedVersion, now time.Time) []explain.Version {
	byVersion := map[uint64]explain.Version{}
	for _, n := range named {
		v := explain.Version{Version: n.Version, Named: true}
		if !n.Since.IsZero() {
			v.NamedAgeMs = now.Sub(n.Since).Milliseconds()
		}
		byVersion[n.Version] = v
	}
	d.store.mu.Lock()
	for version, c := range d.store.copies {
		v := byVersion[version]
		v.Version = version
		c.mu.Lock()
		v.Pieces, v.Total = c.heldCount, len(c.pieces)
		if v.Complete = !c.completed.IsZero(); v.Complete {
			v.CompleteAgeMs = now.Sub(c.completed).Milliseconds()
		}
		c.mu.Unlock()
		byVersion[version] = v
	}
	d.store.mu.Unlock()
	d.mu.Lock()
	for version := range d.fetching {
		v := byVersion[version]
		v.Version, v.Fetching = version, true
		byVersion[version] = v
	}
	d.mu.Unlock()
	list := []explain.Version{}
	for _, v := range byVersion {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b explain.Version) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return list
}
