package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// ownSuspicion is how long this entry acts on its own evidence. It bridges the
// time until control, which gets the same evidence, lists the fingerprint; a
// broken connection alone is weak evidence, so it is shorter than a quarantine.
const ownSuspicion = 5 * time.Minute

// crashWordWait is how long the next run of a request whose answer broke off
// waits for the gate to tell a crash from an answer cut short, which takes it a
// look at its backend. A link with 250 ms delay takes it 1 s.
const crashWordWait = 1500 * time.Millisecond

const crashWordPoll = 20 * time.Millisecond

// copiesCrashWait is how long a request that crashed an endpoint waits before it
// runs again, so that endpoints lost to copies of it that ran at the same time
// are known. Without it two callers' copies cost a third endpoint.
const copiesCrashWait = 500 * time.Millisecond

// tellTimeout bounds how long a lost request waits until the other entries know
// of the loss.
const tellTimeout = 200 * time.Millisecond

// pathLosses is served to other entries, with the process token.
const pathLosses = "/entry/losses"

// loss is an endpoint that was lost, or broke off its answer, while it ran a
// request.
type loss struct {
	Fingerprint string `json:"fingerprint"`
	Endpoint    string `json:"endpoint"`
	// Crashed is false when the answer broke off and the endpoint is still there.
	Crashed bool `json:"crashed"`
}

// tellLoss tells the other entries of a loss and waits for their answers, so
// that a copy of the request which its caller sends them, now or after the
// answer, costs no further endpoint. Control's list reaches them later.
func (e *Entry) tellLoss(l loss) {
	body, err := json.Marshal(l)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.background, tellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range e.peers.others() {
		wg.Go(func() { _ = e.askOther(ctx, http.MethodPost, peer, pathLosses, body, nil) })
	}
	wg.Wait()
}

func (e *Entry) serveLoss(w http.ResponseWriter, r *http.Request) {
	var l loss
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeaderBytes)).Decode(&l)
	if err != nil || l.Fingerprint == "" || l.Endpoint == "" {
		http.Error(w, "not a loss", http.StatusBadRequest)
		return
	}
	e.suspects.told(l, time.Now())
	writeJSON(w, http.StatusOK, l)
}

// suspectBusyRetry is when the caller of a suspect that runs already may come
// back.
const suspectBusyRetry = 2 * time.Second

// suspects makes a quarantine list safe for concurrent use. What any replica
// lists counts: one that lags may be the only one that knows.
type suspects struct {
	mu        sync.Mutex
	list      *quarantine.List
	byReplica map[string][]quarantine.Record
	incidents map[string]string // last crash taken in, by endpoint
}

func newSuspects() *suspects {
	return &suspects{list: quarantine.New(quarantine.Config{Period: ownSuspicion}), byReplica: map[string][]quarantine.Record{}, incidents: map[string]string{}}
}

func (s *suspects) setControl(replica string, listed []wire.QuarantinedRequest) {
	records := make([]quarantine.Record, 0, len(listed))
	for _, q := range listed {
		records = append(records, quarantine.Record{
			Fingerprint: q.Fingerprint, Quarantined: q.Quarantined, Until: time.UnixMilli(q.Until), Crashed: q.Crashed,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byReplica[replica] = records
	s.merge()
}

// announced takes in the crash that an endpoint's announcement names. It comes
// without a commit, so it counts also while the log has no leader. Each crash
// counts once: its neighbours may be cleared while it is still announced.
func (s *suspects) announced(a wire.Announce, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Crash == nil || s.incidents[a.Endpoint] == a.Crash.Incident {
		return
	}
	s.incidents[a.Endpoint] = a.Crash.Incident
	for _, fingerprint := range a.Crash.Fingerprints {
		s.list.Lost(fingerprint, a.Endpoint, now)
	}
}

// forget drops the list of a lost replica while another one is left.
func (s *suspects) forget(replica string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byReplica) > 1 {
		delete(s.byReplica, replica)
		s.merge()
	}
}

func (s *suspects) merge() {
	var all []quarantine.Record
	for _, records := range s.byReplica {
		all = append(all, records...)
	}
	s.list.SetControl(all)
}

// apply marks the call as a suspect where it is one, or refuses it.
func (s *suspects) apply(c *call, now time.Time) *answerError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeVerdict(c, s.list.Check(c.fingerprint, now), now)
}

// broke records that an endpoint's answer to the call broke off, and applies
// what follows. The call runs alone from now on. Only a crash counts as a lost
// endpoint: otherwise an engine that cuts answers short would quarantine them.
func (s *suspects) broke(c *call, l loss, now time.Time) *answerError {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeVerdict(c, s.record(l, now), now)
}

// record needs mu.
func (s *suspects) record(l loss, now time.Time) quarantine.Verdict {
	if l.Crashed {
		return s.list.Lost(l.Fingerprint, l.Endpoint, now)
	}
	return s.list.Broke(l.Fingerprint, l.Endpoint, now)
}

// told records a loss that another entry saw.
func (s *suspects) told(l loss, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(l, now)
}

// takeVerdict marks the call and reserves the single run of a suspect. The
// caller holds mu.
func (s *suspects) takeVerdict(c *call, v quarantine.Verdict, now time.Time) *answerError {
	switch {
	case v.Quarantined:
		message := "this request is quarantined until " + v.Until.UTC().Format(time.RFC3339) + ", because endpoints crashed while they ran it"
		return c.failed(http.StatusUnprocessableEntity, outcome.Quarantined, message).withRetryAfter(v.Until.Sub(now))
	case !v.Alone:
		return nil
	case !c.alone && !s.list.Begin(c.fingerprint):
		return c.failed(http.StatusServiceUnavailable, outcome.SuspectBusy,
			"this request is suspected of crashing endpoints and a copy of it is running").withRetryAfter(suspectBusyRetry)
	}
	c.alone = true
	c.avoid = v.Avoid
	for _, endpoint := range v.Avoid {
		c.exclude[endpoint] = true
	}
	return nil
}

// end gives back the reservation of a suspect. It returns true when the
// request is cleared.
func (s *suspects) end(c *call, whole bool) bool {
	if !c.alone {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.End(c.fingerprint, whole)
	return whole
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Expire(now)
}

// reportTimeout bounds reports to control that no caller waits for.
const reportTimeout = 5 * time.Second

// report commits a command in the background.
func (e *Entry) report(cmd ledger.Command) {
	e.inBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		_, _ = e.control.Propose(ctx, cmd)
	})
}

// settleSuspect gives back a suspect's reservation and tells control when it
// is cleared.
func (e *Entry) settleSuspect(c *call, whole bool) {
	if !e.suspects.end(c, whole) {
		return
	}
	e.report(ledger.Command{Clear: &ledger.ClearSuspect{Fingerprint: c.fingerprint}})
}

// reportLost tells control that an endpoint was lost with its agent: an agent
// that is still there reports an engine's crash itself. Reports of one entry on
// one process of an agent are numbered by fingerprint, so that repeats have no
// effect.
func (e *Entry) reportLost(c *call, f *attemptFailure) {
	fingerprint, alone := c.fingerprint, c.alone
	e.inBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		state, err := e.attemptState(ctx, http.MethodGet, f.gate, f.id)
		if err == nil && state != stateUnknown {
			return
		}
		crash := &ledger.ReportCrash{
			Incident: strings.Join([]string{"lost", f.endpoint, fmt.Sprint(f.gate.incarnation), fingerprint}, "/"),
			Endpoint: f.endpoint, Fingerprints: []string{fingerprint}, Alone: alone,
		}
		e.report(ledger.Command{Crash: crash})
	})
}
