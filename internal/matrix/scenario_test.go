package matrix

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/loadtool"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Durations of a scenario in virtual time.
const (
	bootLimit     = 20 * time.Second
	loadDuration  = 14 * time.Second
	actionAfter   = 3 * time.Second
	convergeLimit = 60 * time.Second

	// inForceTarget and drainTarget are the targets of docs/design.md.
	inForceTarget = 3 * time.Second
	drainTarget   = 3 * time.Second
)

// weights are the model versions that the scenarios use.
type weights struct {
	dir     string
	quote1  release.Digest
	quote2  release.Digest
	old     release.Digest
	digests map[release.Digest]standin.WeightsDigest
}

func writeWeights(dir string) (weights, error) {
	w := weights{dir: dir, digests: map[release.Digest]standin.WeightsDigest{}}
	for _, v := range []struct {
		name, version string
		seed          uint64
		to            *release.Digest
	}{{"quote", "1", 1, &w.quote1}, {"quote", "2", 2, &w.quote2}, {"old", "1", 3, &w.old}} {
		digest, err := standin.WriteWeights(standin.WeightsSpec{
			Dir: dir, Name: v.name, Version: v.version, Shards: 3, Size: 96 << 10, Seed: v.seed, ChangedEvery: 1,
		})
		if err != nil {
			return w, err
		}
		*v.to = digest
		w.digests[digest], err = standin.DigestOfManifestFile(filepath.Join(dir, "manifests", digest.Hex()))
		if err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w weights) note1() []byte {
	return fmt.Appendf(nil, `note: 1
models:
  add:
    - {name: quote, version: "1", manifest: %s, replicas: {role: quote}}
    - {name: old, version: "1", manifest: %s, replicas: {role: quote}}
`, w.quote1, w.old)
}

func (w weights) withdrawOld(number int) []byte {
	return fmt.Appendf(nil, "note: %d\nmodels:\n  withdraw:\n    - {name: old}\n", number)
}

func (w weights) changeQuote(number int) []byte {
	return fmt.Appendf(nil, `note: %d
models:
  change:
    - {name: quote, version: "2", manifest: %s}
`, number, w.quote2)
}

// scenario is one path through the system. It runs under load.
type scenario struct {
	path   string
	steps  []step
	action func(s *system) error
}

var scenarios = []scenario{
	{"note", []step{stepReceived, stepProposed, stepSynced, stepCommitted, stepApplied, stepAcknowledged}, func(s *system) error {
		return s.submit(s.weights.withdrawOld(2))
	}},
	{"weights", []step{stepManifest, stepChunk, stepVerified, stepLoadOrdered, stepLoaded}, func(s *system) error {
		return s.submit(s.weights.changeQuote(2))
	}},
	{"request", []step{stepAdmitted, stepClaimed, stepDispatched, stepStarted, stepFirstToken, stepLastToken, stepAnswered}, func(*system) error {
		return nil
	}},
	{"stop", []step{stepAnnounced, stepDrained, stepGone}, func(s *system) error {
		s.plannedStop("agent-0")
		s.plannedStop("entry-1")
		return nil
	}},
}

// injection is a fault to inject at a step.
type injection struct {
	step  step
	fault fault
}

// observation is the outcome of a run, the input of the checks.
type observation struct {
	system *system
	plan   []injection
	quotes loadtool.Summary
	orders loadtool.Summary
	// resent holds the answers to all submissions when repeated at the end of the run.
	resent []resubmission
}

// run runs a scenario with the injections of plan and returns the violations of all
// invariants and other failures.
func (sc scenario) run(t *testing.T, w weights, plan []injection, seed uint64) []string {
	s := newSystem(t, w)
	defer s.close()
	for _, i := range plan {
		s.rules = append(s.rules, &rule{step: i.step, fault: i.fault.inject})
	}
	s.startAll()
	if err := s.boot(); err != nil {
		return []string{"boot: " + err.Error()}
	}
	o := observation{system: s, plan: plan}
	var load sync.WaitGroup
	load.Go(func() { o.quotes = s.sendQuotes(seed) })
	load.Go(func() { o.orders = s.sendOrders(seed) })
	time.Sleep(actionAfter)
	s.arm()
	if err := sc.action(s); err != nil {
		s.fail("action: %v", err)
	}
	load.Wait()
	s.background.Wait()
	if err := s.converge(); err != nil {
		s.fail("not converged: %v", err)
	}
	o.resent = s.resubmit()
	s.close()
	for _, c := range checks {
		for _, violation := range c.violations(o) {
			s.fail("%s: %s", c.invariant, violation)
		}
	}
	for i, r := range s.rules {
		// The first fault may end the path before the step of the second one.
		if !r.fired && (len(s.rules) == 1 || i == 0 && !s.rules[1].fired) {
			s.fail("step %q was not reached", r.step)
		}
	}
	if *trace && len(s.failures) > 0 {
		s.logEvents(t)
	}
	slices.Sort(s.failures)
	return slices.Compact(s.failures)
}

// boot submits the first note and waits until its weights sets are live on all
// endpoints.
func (s *system) boot() error {
	if err := s.submit(s.weights.note1()); err != nil {
		return err
	}
	return s.waitLive(bootLimit)
}

func (s *system) operator() *operator.Client {
	var replicas []string
	for i := range controls {
		replicas = append(replicas, operatorAddress(i))
	}
	return &operator.Client{
		Replicas: replicas, Token: operatorToken, AttemptTimeout: time.Second,
		HTTP: &http.Client{Transport: network.HTTPTransport(s.net.Host("operator"))},
	}
}

// submit submits a note as rhubarbctl does and records the answer. A refusal is not an
// error.
func (s *system) submit(note []byte) error {
	client := s.operator()
	defer client.HTTP.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), convergeLimit)
	defer cancel()
	answer, err := client.Submit(ctx, note)
	if err != nil && !errors.Is(err, operator.ErrRefused) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submissions = append(s.submissions, submission{note, answer, time.Now()})
	return nil
}

// submission is a note and the final answer that the operator received.
type submission struct {
	note   []byte
	answer operator.NoteAnswer
	at     time.Time
}

// resubmission is the answer to a note that was submitted a second time.
type resubmission struct {
	first submission
	again operator.NoteAnswer
	err   error
}

// resubmit submits every recorded note again.
func (s *system) resubmit() []resubmission {
	client := s.operator()
	defer client.HTTP.CloseIdleConnections()
	var all []resubmission
	for _, first := range s.submissions {
		ctx, cancel := context.WithTimeout(context.Background(), convergeLimit)
		again, err := client.Submit(ctx, first.note)
		cancel()
		if errors.Is(err, operator.ErrRefused) {
			err = nil
		}
		all = append(all, resubmission{first, again, err})
	}
	return all
}

// waitLive waits until all weights sets are live on all endpoints.
func (s *system) waitLive(limit time.Duration) error {
	client := s.operator()
	defer client.HTTP.CloseIdleConnections()
	deadline := time.Now().Add(limit)
	for {
		var rollout operator.Rollout
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		document, err := client.Get(ctx, operator.PathRollout, nil, &rollout)
		cancel()
		if err == nil && document.Current && allLive(rollout) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("weights sets are not live on all endpoints: rollout %+v, error %v", rollout, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// allLive reports whether all weights sets are live on all engines. The model late has no
// replicas, so its set is not counted.
func allLive(r operator.Rollout) bool {
	if !r.InForce || len(r.Sets) == 0 {
		return false
	}
	for _, set := range r.Sets {
		if set.Model != "late" && set.Live < engines {
			return false
		}
	}
	return true
}

// converge starts the processes that are not running and waits until every endpoint
// serves the target weights.
func (s *system) converge() error {
	for name := range s.processes {
		s.start(name)
	}
	return s.waitLive(convergeLimit)
}

func (s *system) loadConfig(rate float64, seed uint64) loadtool.Config {
	var addresses []string
	for i := range entries {
		addresses = append(addresses, entryAddress(i))
	}
	organisations, err := loadtool.ParseMix("small=1,large=4")
	if err != nil {
		s.t.Error(err)
	}
	return loadtool.Config{
		Entries: addresses, Zone: regions[0], Token: callerToken, Rate: rate, Duration: loadDuration,
		Count: 1000, MaxInFlight: 1000, Deadline: 8 * time.Second, Drain: 20 * time.Second,
		Organisations: organisations, Seed: seed, Network: s.net.Host("caller"),
	}
}

func (s *system) sendQuotes(seed uint64) loadtool.Summary {
	models, err := loadtool.ParseMix("quote=4,old=1")
	if err != nil {
		s.t.Error(err)
	}
	d := s.weights.digests
	summary, err := loadtool.RunQuotes(context.Background(), loadtool.Quotes{
		Config: s.loadConfig(5, seed), Models: models, Tokens: 12, PromptBytes: 256, StreamShare: 0.7,
		Weights: map[string][]standin.WeightsDigest{
			"quote": {d[s.weights.quote1], d[s.weights.quote2]}, "old": {d[s.weights.old]},
		},
	})
	if err != nil {
		s.fail("quotes: %v", err)
	}
	return summary
}

func (s *system) sendOrders(seed uint64) loadtool.Summary {
	summary, err := loadtool.RunOrders(context.Background(), loadtool.Orders{
		Config: s.loadConfig(3, seed), Service: "dispatch", Path: "/orders", Resends: 3, Duplicates: 0.2,
		Executions: []string{"http://" + serviceAddress + "/executions"}, Settle: 10 * time.Second,
	})
	if err != nil {
		s.fail("orders: %v", err)
	}
	return summary
}

// plannedStop asks a daemon to stop, as SIGTERM does, and does not wait for it.
func (s *system) plannedStop(name string) {
	s.mu.Lock()
	s.plannedStops = append(s.plannedStops, plannedStop{name, time.Now()})
	s.mu.Unlock()
	s.background.Go(func() { s.stop(name) })
}

type plannedStop struct {
	process string
	at      time.Time
}

// wipe deletes the files of a process.
func (s *system) wipe(name string) {
	dir := name
	if number, ok := strings.CutPrefix(name, "agent-"); ok {
		dir = "cache-" + number
	}
	if err := os.RemoveAll(filepath.Join(s.dir, dir)); err != nil {
		s.fail("%v", err)
	}
}
