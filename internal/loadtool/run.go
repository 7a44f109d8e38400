package loadtool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/outcome"
)

const (
	outcomeDone    = string(outcome.Done)
	outcomeNotRun  = string(outcome.NotRun)
	outcomeUnknown = string(outcome.Unknown)
)

// Reasons assigned by the load tool when the response has none.
const (
	reasonConnect   = "tool-connect-failed"
	reasonCut       = "tool-cut-short"
	reasonTransport = "tool-transport"
	reasonCancelled = "tool-cancelled"
)

// result is the outcome of a request and the reason for it.
type result struct {
	outcome string
	reason  string
}

// pacer starts requests as a Poisson process with the configured rate until the
// duration or the count is reached, and then waits for those in flight.
type pacer struct {
	cfg      Config
	recorder *recorder
	random   *rand.Rand
}

func newPacer(cfg Config, r *recorder) *pacer {
	return &pacer{cfg: cfg, recorder: r, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// run calls prepare sequentially, in order of arrival. It calls each returned
// function on its own goroutine with the scheduled time of the request.
func (p *pacer) run(ctx context.Context, prepare func(i int, random *rand.Rand) func(ctx context.Context, due time.Time)) {
	requests, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, p.cfg.MaxInFlight)
	var inFlight sync.WaitGroup
	due, end := time.Now(), time.Now().Add(p.cfg.Duration)
	for i := 0; i < p.cfg.Count; i++ {
		due = due.Add(time.Duration(p.random.ExpFloat64() / p.cfg.Rate * float64(time.Second)))
		if due.After(end) || !sleepUntil(ctx, due) {
			break
		}
		send := prepare(i, p.random)
		p.recorder.update(func(s *Summary) { s.Due++ })
		select {
		case slots <- struct{}{}:
		default:
			p.recorder.update(func(s *Summary) { s.Skipped++ })
			continue
		}
		p.recorder.update(func(s *Summary) { s.Sent++ })
		at := due
		inFlight.Go(func() {
			defer func() { <-slots }()
			send(requests, at)
		})
	}
	limit := time.AfterFunc(p.cfg.Drain, cancel)
	defer limit.Stop()
	inFlight.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
