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

// localSuspicionDuration is how long this entry acts on its own evidence. It covers
// the time until control, which receives the same evidence, lists the fingerprint.
// It is shorter than a quarantine, because a broken connection alone is weak
// evidence.
const localSuspicionDuration = 5 * time.Minute

// crashCheckTimeout limits how long a retry after a truncated response waits for
// the gate to report whether its backend crashed. The gate has to check its backend
// first; over a link with 250 ms delay the report takes 1 s.
const crashCheckTimeout = 1500 * time.Millisecond

const crashCheckInterval = 20 * time.Millisecond

// crashSettleTime is how long a suspect waits after the last loss before its
// exclusive run, so that crashes caused by its concurrent copies are known by then.
// Without the wait, or if a cancelled copy skips it, copies from two callers crash a
// third endpoint.
const crashSettleTime = 500 * time.Millisecond

// notifyTimeout limits how long a request waits for other entries to acknowledge a
// loss.
const notifyTimeout = 200 * time.Millisecond

// pathLosses is served to other entries and requires the process token.
const pathLosses = "/entry/losses"

// loss reports that an endpoint crashed, or broke off its response, while it ran a
// request.
type loss struct {
	Fingerprint string `json:"fingerprint"`
	Endpoint    string `json:"endpoint"`
	// Crashed is false when the response broke off without a confirmed crash.
	Crashed bool `json:"crashed"`
}

// notifyLoss notifies the other entries of a loss and waits for their responses, so
// that a copy of the request that its caller sends to one of them, now or after the
// response, does not crash another endpoint. The list of control arrives later.
func (e *Entry) notifyLoss(l loss) {
	e.notifyPeers(e.peers.exchangeTargets(), pathLosses, l)
}

// notifyPeers sends a message to other entries and waits up to notifyTimeout for
// their responses.
func (e *Entry) notifyPeers(others []Peer, path string, message any) {
	ctx, cancel := context.WithTimeout(e.background, notifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, peer := range others {
		wg.Go(func() { _ = e.postToPeer(ctx, peer, path, message, nil) })
	}
	wg.Wait()
}

// applyLoss records a loss and cancels the copies of the request that still run
// through this entry, because each of them could crash another endpoint.
func (e *Entry) applyLoss(l loss) {
	e.suspects.recordLoss(l, time.Now())
	e.fleet.cancelCopies(l.Fingerprint)
}

// applyAnnouncedCrash records the crash in an announcement, if it has one, and
// cancels the copies of the requests involved.
func (e *Entry) applyAnnouncedCrash(a wire.Announce) {
	for _, fingerprint := range e.suspects.recordAnnouncedCrash(a, time.Now()) {
		e.fleet.cancelCopies(fingerprint)
	}
}

// handleLoss notifies all entries that an endpoint's response broke off, so that
// they cancel copies of the request. It then checks, records and returns whether the
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

// awaitCrashSettle delays a suspect that is to run exclusively until no loss of its
// copies has been reported for crashSettleTime.
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

// suspectBusyRetryAfter is the Retry-After sent for a suspect of which another copy
// is running.
const suspectBusyRetryAfter = 2 * time.Second

// suspects makes a quarantine list safe for concurrent use. It merges the lists of
// all control replicas, because a replica that lags behind in other respects may be
// the only one that knows of a fingerprint.
type suspects struct {
	mu        sync.Mutex
	list      *quarantine.List
	byReplica map[string][]quarantine.Record
	incidents map[string]string // last crash recorded, by endpoint
	reserved  map[string]reservation
	losses    map[string]time.Time // time of the last reported loss, by fingerprint
}

func newSuspects() *suspects {
	return &suspects{list: quarantine.New(quarantine.Config{Duration: localSuspicionDuration}), byReplica: map[string][]quarantine.Record{}, incidents: map[string]string{}, reserved: map[string]reservation{}, losses: map[string]time.Time{}}
}

func (s *suspects) setControlRecords(replica string, requests []wire.QuarantinedRequest) {
	records := make([]quarantine.Record, 0, len(requests))
	for _, q := range requests {
		records = append(records, quarantine.Record{
			Fingerprint: q.Fingerprint, Quarantined: q.Quarantined, Until: time.UnixMilli(q.Until), CrashedEndpoints: q.Crashed,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byReplica[replica] = records
	s.mergeReplicas()
}

// recordAnnouncedCrash records the crash in an announcement and returns the
// fingerprints of the requests that were running. Announcements need no commit, so
// this also works while the log has no leader. Each crash is recorded once, because
// requests cleared in the meantime must not become suspects again while it is still
// announced.
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

// removeReplica drops the list of a lost replica, unless it is the only one.
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

// recordLoss records a crash or a truncated response. Only a crash counts towards a
// quarantine: otherwise an engine that truncates responses would cause requests to
// be quarantined.
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

// lastLoss returns the time of the last reported loss, or the zero time.
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

// isSuspect reports whether a request may run only exclusively, or is quarantined.
func (s *suspects) isSuspect(fingerprint string, now time.Time) bool {
	v := s.check(fingerprint, now)
	return v.Exclusive || v.Quarantined
}

// checkSuspect refuses a quarantined call. For a suspect, it reserves the exclusive
// run and excludes the endpoints to avoid, or refuses the call when another copy may
// be running.
func (e *Entry) checkSuspect(c *call) *apiError {
	v := e.suspects.check(c.fingerprint, time.Now())
	if v.Exclusive && c.reservationHolder == "" {
		if !e.reserve(c) {
			return c.failure(http.StatusServiceUnavailable, outcome.SuspectBusy,
				"this request is suspected of crashing endpoints and a copy of it may be running").withRetryAfter(suspectBusyRetryAfter)
		}
		// The other entries may have reported losses with their grants.
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

// clear removes the suspicion of a request that completed an exclusive run.
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

// reportTimeout limits reports to control that no caller waits for.
const reportTimeout = 5 * time.Second

// proposeInBackground proposes a command without waiting for its commit.
func (e *Entry) proposeInBackground(cmd ledger.Command) {
	e.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		_, _ = e.control.Propose(ctx, cmd)
	})
}

// finishSuspect releases a suspect's reservation. After a completed run it also
// clears the suspect here and at control.
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

// reportLostEndpoint reports to control that an endpoint was lost together with its
// agent. An agent that still runs reports the crash of its engine itself. The
// incident identifier consists of the endpoint, its incarnation and the fingerprint,
// so that repeated reports have no effect.
func (e *Entry) reportLostEndpoint(c *call, f *attemptFailure) {
	fingerprint, exclusive := c.fingerprint, c.exclusive
	e.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		state, err := e.attemptState(ctx, http.MethodGet, f.gate, f.id)
		if err == nil && state != stateUnknown {
			return
		}
		crash := &ledger.ReportCrash{
			Incident: strings.Join([]string{"lost", f.endpoint, fmt.Sprint(f.gate.incarnation), fingerprint}, "/"),
			Endpoint: f.endpoint, Fingerprints: []string{fingerprint}, Exclusive: exclusive,
		}
		e.proposeInBackground(ledger.Command{Crash: crash})
	})
}
