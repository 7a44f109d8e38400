package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// maxProbes limits the concurrent probes.
const maxProbes = 16

// probeTarget is an endpoint to probe.
type probeTarget struct {
	id    string
	gate  gateAddress
	model string
	set   string
}

// prober checks endpoints that have had no recent requests by generating one
// token on them.
type prober struct {
	entry *Entry
	slots chan struct{}
	wg    sync.WaitGroup
}

func newProber(e *Entry) *prober {
	return &prober{entry: e, slots: make(chan struct{}, maxProbes)}
}

// run probes the targets in the background. Targets beyond maxProbes remain due
// and are probed later.
func (p *prober) run(ctx context.Context, targets []probeTarget) {
	for _, target := range targets {
		select {
		case p.slots <- struct{}{}:
		default:
			return
		}
		p.wg.Go(func() {
			defer func() { <-p.slots }()
			result := p.entry.probe(ctx, target)
			p.entry.fleet.recordProbe(target.id, result, time.Now())
		})
	}
}

// probe requests a stream of one token and waits for its end marker.
func (e *Entry) probe(ctx context.Context, t probeTarget) balancer.Result {
	timeout := time.Duration(e.settings.StallTimeout)
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, timeout, errStalled)
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errFinished)
	body, err := json.Marshal(map[string]any{
		"model": t.model, "stream": true, "max_tokens": 1,
		"messages": []map[string]string{{"role": "user", "content": "."}},
	})
	if err != nil {
		return balancer.Cancelled
	}
	c := &call{
		ctx: ctx, method: http.MethodPost, path: pathChat, body: body, pool: t.model, toEngine: true, stream: true,
		header: http.Header{"Content-Type": {"application/json"}}, deadline: time.Now().Add(timeout),
	}
	a := &attempt{id: e.attempts.Next().String(), endpoint: t.id, gate: t.gate, weightsSet: t.set, ctx: ctx, cancel: cancel}
	if f := e.sendAttempt(c, a, e.client); f != nil {
		a.closeBody()
		return f.probeResult()
	}
	defer a.closeBody()
	return readProbe(a)
}

// probeResult returns the result to record for a failed probe. A failure that says
// nothing about the engine's health counts as cancelled.
func (f *attemptFailure) probeResult() balancer.Result {
	if f.reason == outcome.SetNotLoaded {
		return balancer.Cancelled // the endpoint table lags behind a change of weights sets
	}
	return f.result
}

func readProbe(a *attempt) balancer.Result {
	events := newEventReader(a.response.Body)
	for {
		_, data, err := events.next()
		switch {
		case err != nil:
			return a.transportFailure(err).result
		case string(data) == endMarker:
			return balancer.Completed
		}
	}
}
