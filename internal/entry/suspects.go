package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/outcome"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

// localSuspicionDuration is how long this entry acts on its own evidence. It bridges the
// time until control, which gets the same evidence, lists the fingerprint; a
// broken connection alone is weak evidence, so it is shorter than a quarantine.
const localSuspicionDuration = 5 * time.Minute

// crashCheckTimeout is how long the next run of a request whose answer broke off
// waits for the gate to tell a crash from an answer cut short, which takes it a
// look at its backend. A link with 250 ms delay takes it 1 s.
const crashCheckTimeout = 1500 * time.Millisecond

const crashCheckInterval = 20 * time.Millisecond

// crashSettleTime is how long a suspect waits after the last loss before it runs
// alone, so that endpoints lost to copies of it that ran at the same time are
// known. Without it, or if a copy that was cancelled does not wait, two callers'
// copies cost a third endpoint.
const crashSettleTime = 500 * time.Millisecond

// notifyTimeout bounds how long a lost request waits until the other entries know
// of the loss.
const notifyTimeout = 200 * time.Millisecond

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

// notifyLoss tells the other entries of a loss and waits for their answers, so
// that a copy of the request which its caller sends them, now or after the
// answer, costs no further endpoint. Control's list reaches them later.
func (e *Entry) notifyLoss(l loss) {
	e.notifyPeers(e.peers.exchangeTargets(), pathLosses, l)
}

// notifyPeers sends a message to other entries and waits for their answers, for
// tellTimeout at most.
func (e *Entry) notifyPeers(others []Peer, path string, message any) {
	ctx, cancel := context.WithTimeout(e.background, notifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range others {
		wg.Go(func() { _ = e.postToPeer(ctx, peer, path, message, nil) })
	}
	wg.Wait()
}

// applyLoss takes in a loss and ends the copies of the request that still run
// here. Without that each of them could cost an endpoint.
func (e *Entry) applyLoss(l loss) {
	e.suspects.recordLoss(l, time.Now())
	e.fleet.cancelCopies(l.Fingerprint)
}

// applyAnnouncedCrash takes in the crash that an endpoint announces.
func (e *Entry) applyAnnouncedCrash(a wire.Announce) {
	for _, fingerprint := range e.suspects.recordAnnouncedCrash(a, time.Now()) {
		e.fleet.cancelCopies(fingerprint)
	}
}

// handleLoss tells all entries that an endpoint's answer broke off, so that
// they end copies of the request, and then finds out and returns whether the
// endpoint crashed.
func (e *Entry) handleLoss(c *call, f *attemptFailure) bool {
	e.reportLostEndpoint(c, f)
	l := loss{Fingerprint: c.fingerprint, Endpoint: f.endpoint}
	e.applyLoss(l)
	e.notifyLoss(l)
	if !e.endpointCrashed(c, f) {
		return false
	}
	l.Crashed = true
	e.applyLoss(l)
	e.notifyLoss(l)
	return true
}

// awaitCrashSettle has a suspect that is to run alone wait until no loss to it was
// heard of for copiesCrashWait.
func (e *Entry) awaitCrashSettle(c *call) {
	for c.reservationHolder == "" && c.ctx.Err() == nil && e.suspects.check(c.fingerprint, time.Now()).Exclusive {
		remaining := crashSettleTime - time.Since(e.suspects.lastLoss(c.fingerprint))
		if remaining <= 0 {
			return
		}
		c.sleep(remaining)
	}
}

func (e *Entry) serveLoss(w http.ResponseWriter, r *http.Request) {
	var l loss
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHeaderBytes)).Decode(&l)
	if err != nil || l.Fingerprint == "" || l.Endpoint == "" {
		http.Error(w, "not a loss", http.StatusBadRequest)
		return
	}
	e.applyLoss(l)
	writeJSON(w, http.StatusOK, l)
}

// suspectBusyRetryAfter is when the caller of a suspect that runs already may come
// back.
const suspectBusyRetryAfter = 2 * time.Second

// suspects makes a quarantine list safe for concurrent use. What any replica
// lists counts: one that lags may be the only one that knows.
type suspects struct {
	mu        sync.Mutex
	list      *quarantine.List
	byReplica map[string][]quarantine.Record
	incidents map[string]string // last crash taken in, by endpoint
	reserved  map[string]reservation
	losses    map[string]time.Time // last loss heard of, by fingerprint
}

func newSuspects() *suspects {
	return &suspects{list: quarantine.New(quarantine.Config{Duration: localSuspicionDuration}), byReplica: map[string][]quarantine.Record{}, incidents: map[string]string{}, reserved: map[string]reservation{}, losses: map[string]time.Time{}}
}

func (s *suspects) setControlRecords(replica string, listed []wire.QuarantinedRequest) {
	records := make([]quarantine.Record, 0, len(listed))
	for _, q := range listed {
		records = append(records, quarantine.Record{
			Fingerprint: q.Fingerprint, Quarantined: q.Quarantined, Until: time.UnixMilli(q.Until), CrashedEndpoints: q.Crashed,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byReplica[replica] = records
	s.mergeReplicas()
}

// recordAnnouncedCrash takes in the crash that an endpoint's announcement names. It comes
// without a commit, so it counts also while the log has no leader. Each crash
// counts once: its neighbours may be cleared while it is still recordAnnouncedCrash. It
// returns the new suspects.
func (s *suspects) recordAnnouncedCrash(a wire.Announce, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Crash == nil || s.incidents[a.Endpoint] == a.Crash.Incident {
		return nil
	}
	s.incidents[a.Endpoint] = a.Crash.Incident
	for _, fingerprint := range a.Crash.Fingerprints {
		s.list.RecordCrash(fingerprint, a.Endpoint, now)
		s.losses[fingerprint] = now
	}
	return a.Crash.Fingerprints
}

// removeReplica drops the list of a lost replica while another one is left.
func (s *suspects) removeReplica(replica string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byReplica) > 1 {
		delete(s.byReplica, replica)
		s.mergeReplicas()
	}
}

func (s *suspects) mergeReplicas() {
	var all []quarantine.Record
	for _, records := range s.byReplica {
		all = append(all, records...)
	}
	s.list.SetControlRecords(all)
}

// recordLoss takes in an endpoint's loss or broken answer. Only a crash counts as a
// lost endpoint: otherwise an engine that cuts answers short would quarantine
// requests.
func (s *suspects) recordLoss(l loss, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses[l.Fingerprint] = now
	if l.Crashed {
		s.list.RecordCrash(l.Fingerprint, l.Endpoint, now)
		return
	}
	s.list.RecordInterruption(l.Fingerprint, l.Endpoint, now)
}

// lastLoss is when a loss to the request was last heard of, or the zero time.
func (s *suspects) lastLoss(fingerprint string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losses[fingerprint]
}

func (s *suspects) check(fingerprint string, now time.Time) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Check(fingerprint, now)
}

// isSuspect reports whether a request may run only alone, or not at all.
func (s *suspects) isSuspect(fingerprint string, now time.Time) bool {
	v := s.check(fingerprint, now)
	return v.Exclusive || v.Quarantined
}

// checkSuspect marks the call as a suspect where it is one and reserves its
// single run, or refuses it.
func (e *Entry) checkSuspect(c *call) *apiError {
	v := e.suspects.check(c.fingerprint, time.Now())
	if v.Exclusive && c.reservationHolder == "" {
		if !e.reserve(c) {
			return c.failure(http.StatusServiceUnavailable, outcome.SuspectBusy,
				"this request is suspected of crashing endpoints and a copy of it may be running").withRetryAfter(suspectBusyRetryAfter)
		}
		// Other entries may have told of losses meanwhile.
		v = e.suspects.check(c.fingerprint, time.Now())
	}
	if v.Quarantined {
		message := "this request is quarantined until " + v.Until.UTC().Format(time.RFC3339) + ", because endpoints crashed while they ran it"
		return c.failure(http.StatusUnprocessableEntity, outcome.Quarantined, message).withRetryAfter(time.Until(v.Until))
	}
	c.exclusive = c.reservationHolder != ""
	c.avoid = v.Avoid
	for _, endpoint := range v.Avoid {
		c.exclude[endpoint] = true
	}
	return nil
}

// clear forgets the suspicion of a request that finished while running alone.
func (s *suspects) clear(fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Release(fingerprint, true)
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Expire(now)
	maps.DeleteFunc(s.losses, func(_ string, at time.Time) bool { return now.Sub(at) > crashSettleTime })
	for fingerprint, held := range s.reserved {
		if !now.Before(held.until) {
			delete(s.reserved, fingerprint)
		}
	}
}

// reportTimeout bounds reports to control that no caller waits for.
const reportTimeout = 5 * time.Second

// proposeInBackground commits a command in the background.
func (e *Entry) proposeInBackground(cmd ledger.Command) {
	e.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		_, _ = e.control.Propose(ctx, cmd)
	})
}

// finishSuspect gives back a suspect's reservation and tells control when it
// is cleared.
func (e *Entry) finishSuspect(c *call, completed bool) {
	if c.reservationHolder == "" {
		return
	}
	if completed {
		e.suspects.clear(c.fingerprint)
		e.proposeInBackground(ledger.Command{Clear: &ledger.ClearSuspect{Fingerprint: c.fingerprint}})
	}
	e.releaseReservation(c)
}

// reportLostEndpoint tells control that an endpoint was lost with its agent: an agent
// that is still there reports an engine's crash itself. Reports of one entry on
// one process of an agent are numbered by fingerprint, so that repeats have no
// effect.
func (e *Entry) reportLostEndpoint(c *call, f *attemptFailure) {
	fingerprint, alone := c.fingerprint, c.exclusive
	e.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		state, err := e.attemptState(ctx, http.MethodGet, f.gate, f.id)
		if err == nil && state != stateUnknown {
			return
		}
		crash := &ledger.ReportCrash{
			Incident: strings.Join([]string{"lost", f.endpoint, fmt.Sprint(f.gate.incarnation), fingerprint}, "/"),
			Endpoint: f.endpoint, Fingerprints: []string{fingerprint}, Exclusive: alone,
		}
		e.proposeInBackground(ledger.Command{Crash: crash})
	})
}
