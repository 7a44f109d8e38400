package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
)

// tenOrganisations: one sends most of the load, one a little.
func tenOrganisations() map[string]float64 {
	shares := map[string]float64{"large": 0.6, "small": 0.02}
	for i := range 8 {
		shares[fmt.Sprintf("medium-%d", i)] = 0.0475
	}
	return shares
}

// oneQueue puts all callers into one organisation.
func oneQueue() map[string]float64 { return map[string]float64{"all": 1} }

// measureLoad compares goodput at once, twice and three times the capacity,
// and the baseline that queues everything until its deadline.
func measureLoad(capacity float64) (ratio float64, err error) {
	fmt.Println("load: 10 organisations, one with 60% and one with 2% of the requests")
	goodput := map[float64]float64{}
	for _, factor := range []float64{0.5, 1, 2, 3} {
		s, err := offer(options{queueWait: queueWait}, load{rate: factor * capacity, shares: tenOrganisations(), period: loadPeriod, seed: 1})
		if err != nil {
			return 0, err
		}
		goodput[factor] = s.goodput
		fmt.Printf("  %.1f x, fair shares       %v\n", factor, s)
		fmt.Printf("      served of what each sent: large %.2f, medium %.2f, small %.2f; late refusals %v\n",
			s.share["large"], s.share["medium-0"], s.share["small"], s.lateBy)
	}
	for _, factor := range []float64{1, 2} {
		s, err := offer(options{queueWait: time.Hour}, load{rate: factor * capacity, shares: oneQueue(), period: loadPeriod, seed: 1})
		if err != nil {
			return 0, err
		}
		fmt.Printf("  %.1f x, one queue, no limit on the wait (baseline) %v\n", factor, s)
	}
	fmt.Println()
	return goodput[2] / goodput[1], nil
}

func offer(o options, l load) (summary, error) {
	c, err := newCluster(o)
	if err != nil {
		return summary{}, err
	}
	defer c.close()
	return summarise(l.run(c), l.period), nil
}

// measurePolicies compares choices of endpoints while reports lag by 2 s and
// two gates are half as fast.
func measurePolicies(capacity float64) error {
	fmt.Println("policy: 0.7 x of the reduced capacity, reports 2 s old, two of eight gates half as fast")
	for _, p := range []struct {
		name   string
		policy balancer.Policy
	}{
		{"two choices", balancer.TwoChoices},
		{"random", balancer.Random},
		{"round robin", balancer.RoundRobin},
		{"least reported", balancer.LeastReported},
	} {
		o := options{queueWait: queueWait, policy: p.policy, change: func(i int, g *entrytest.Gate) {
			g.ReportLag = 2 * time.Second
			if i < 2 {
				g.FirstToken, g.PerToken = 2*firstToken, 2*perToken
			}
		}}
		c, err := newCluster(o)
		if err != nil {
			return err
		}
		s := summarise(load{rate: 0.7 * capacity * 7 / 8, shares: oneQueue(), period: policyPeriod, seed: 2}.run(c), policyPeriod)
		fmt.Printf("  %-15s refused by gates %5.0f  %v\n", p.name, c.counter("retries_total"), s)
		c.close()
	}
	fmt.Println()
	return nil
}

// faultPlan strikes some of the attempts on some gates after a second.
type faultPlan struct {
	name  string
	fault entrytest.Fault
	gates int
	share int // one attempt in so many
}

// measureFaults compares goodput and lost work under faults at half the
// capacity.
func measureFaults(capacity float64) error {
	fmt.Println("fault: 0.5 x, from the second second on; lost work is tokens generated and not delivered")
	for _, p := range []faultPlan{
		{name: "none"},
		{"one gate stalls", entrytest.Fault{Step: entrytest.StepStarted, Kind: entrytest.Stall}, 1, 1},
		{"one gate cuts all", entrytest.Fault{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 5}, 1, 1},
		{"one gate gone", entrytest.Fault{}, 1, 0},
		{"all cut 1 in 20", entrytest.Fault{Step: entrytest.StepToken, Kind: entrytest.Kill, Token: 5}, gateCount, 20},
	} {
		if err := measureFault(capacity, p); err != nil {
			return err
		}
	}
	fmt.Println()
	return nil
}

func measureFault(capacity float64, p faultPlan) error {
	var on atomic.Bool
	var seen atomic.Int64
	c, err := newCluster(options{queueWait: queueWait, change: func(i int, g *entrytest.Gate) {
		g.Fault = func(_ *http.Request, _ string) entrytest.Fault {
			if i < p.gates && p.share > 0 && on.Load() && seen.Add(1)%int64(p.share) == 0 {
				return p.fault
			}
			return entrytest.Fault{}
		}
	}})
	if err != nil {
		return err
	}
	defer c.close()
	timer := time.AfterFunc(time.Second, func() {
		on.Store(true)
		if p.gates > 0 && p.share == 0 {
			c.gates[0].Close()
		}
	})
	defer timer.Stop()
	s := summarise(load{rate: 0.5 * capacity, shares: oneQueue(), period: faultPeriod, seed: 3}.run(c), faultPeriod)
	generated := 0
	for _, g := range c.gates {
		generated += g.GeneratedTokens()
	}
	fmt.Printf("  %-18s lost work %5.2f%%  resumed %3.0f  %v\n", p.name,
		100*float64(generated-s.tokens)/float64(max(1, generated)), c.counter("streams_resumed_total"), s)
	return nil
}

// measureClaims counts non-idempotent calls a second while a commit takes 2 ms.
func measureClaims(float64) error {
	const workers = 32
	c, err := newCluster(options{queueWait: queueWait, service: true, commit: 2 * time.Millisecond})
	if err != nil {
		return err
	}
	defer c.close()
	var done, other atomic.Int64
	var mu sync.Mutex
	var latencies []time.Duration
	stop := time.Now().Add(claimPeriod)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				started := time.Now()
				if !order(c.urls[w%len(c.urls)], fmt.Sprintf("%d-%d", w, n)) {
					other.Add(1)
					continue
				}
				done.Add(1)
				mu.Lock()
				latencies = append(latencies, time.Since(started))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	fmt.Printf("claims: %d workers, 2 ms for a commit, two commits a call: %.0f calls/s, p50 %v, p95 %v, not done %d\n\n", workers,
		float64(done.Load())/claimPeriod.Seconds(), quantile(latencies, 0.5), quantile(latencies, 0.95), other.Load())
	return nil
}

func order(url, key string) bool {
	request, err := http.NewRequest(http.MethodPost, url+"/services/orders/book", strings.NewReader("load"))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Rhubarb-Organisation", "org")
	request.Header.Set("Idempotency-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.Header.Get("Rhubarb-Outcome") == "done"
}
