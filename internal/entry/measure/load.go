package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// sample is what a caller saw.
type sample struct {
	organisation string
	started      time.Time
	first, whole time.Duration
	done         bool // whole and before the deadline
	refused      bool // a final answer before anything ran
	tokens       int
	err          string
}

// load offers requests at a rate with random gaps, by organisation.
type load struct {
	rate   float64
	shares map[string]float64 // of the rate, by organisation
	period time.Duration
	seed   uint64
}

// run offers the load and returns all samples.
func (l load) run(c *cluster) []sample {
	random := rand.New(rand.NewPCG(l.seed, 7))
	names := make([]string, 0, len(l.shares))
	for name := range l.shares {
		names = append(names, name)
	}
	slices.Sort(names)
	var mu sync.Mutex
	var samples []sample
	var wg sync.WaitGroup
	start := time.Now()
	for at, n := time.Duration(0), 0; at < l.period; n++ {
		time.Sleep(time.Until(start.Add(at)))
		organisation := pickName(random.Float64(), names, l.shares)
		url := c.urls[n%len(c.urls)]
		wg.Go(func() {
			s := ask(url, organisation, n)
			mu.Lock()
			samples = append(samples, s)
			mu.Unlock()
		})
		at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
	}
	wg.Wait()
	return samples
}

func pickName(x float64, names []string, shares map[string]float64) string {
	for _, name := range names {
		if x -= shares[name]; x < 0 {
			return name
		}
	}
	return names[len(names)-1]
}

// ask sends one streamed chat completion and reads its answer.
func ask(url, organisation string, n int) sample {
	s := sample{organisation: organisation, started: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+200*time.Millisecond)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"request %d of %s"}]}`, model, n, organisation)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		s.err = err.Error()
		return s
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Rhubarb-Organisation", organisation)
	request.Header.Set("Rhubarb-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		s.err, s.whole = "transport", time.Since(s.started)
		return s
	}
	defer func() { _ = response.Body.Close() }()
	s.refused = response.Header.Get("Rhubarb-Outcome") == "not-run"
	if response.StatusCode != http.StatusOK {
		s.err, s.whole = response.Header.Get("Rhubarb-Reason"), time.Since(s.started)
		return s
	}
	s.readEvents(response)
	s.whole = time.Since(s.started)
	s.done = s.done && s.whole <= deadline
	return s
}

func (s *sample) readEvents(response *http.Response) {
	s.err = "no end marker"
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		switch line := lines.Text(); {
		case line == "data: [DONE]":
			s.done, s.err = true, ""
		case strings.Contains(line, `"content"`):
			if s.tokens++; s.tokens == 1 {
				s.first = time.Since(s.started)
			}
		}
	}
}

// lateAfter is the time after which a refusal no longer counts as at once.
const lateAfter = 50 * time.Millisecond

// summary of samples.
type summary struct {
	offered, done, refused, failed int
	goodput                        float64 // done a second
	first95, whole50, whole95      time.Duration
	refusal99                      time.Duration
	late                           int            // refused after lateAfter
	lateBy                         map[string]int // late ones, by reason and organisation
	tokens                         int
	share                          map[string]float64 // done of offered, by organisation
}

func summarise(samples []sample, period time.Duration) summary {
	s := summary{share: map[string]float64{}, lateBy: map[string]int{}}
	var first, whole, refusal []time.Duration
	offered := map[string]float64{}
	for _, x := range samples {
		s.offered++
		s.tokens += x.tokens
		offered[x.organisation]++
		switch {
		case x.done:
			s.done++
			s.share[x.organisation]++
			first, whole = append(first, x.first), append(whole, x.whole)
		case x.refused:
			s.refused++
			refusal = append(refusal, x.whole)
			if x.whole > lateAfter {
				s.late++
				s.lateBy[x.err+" of "+x.organisation]++
			}
		default:
			s.failed++
		}
	}
	for name := range offered {
		s.share[name] /= offered[name]
	}
	s.goodput = float64(s.done) / period.Seconds()
	s.first95, s.whole50, s.whole95 = quantile(first, 0.95), quantile(whole, 0.5), quantile(whole, 0.95)
	s.refusal99 = quantile(refusal, 0.99)
	return s
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))].Round(time.Millisecond)
}

func (s summary) String() string {
	return fmt.Sprintf("goodput %6.1f/s  done %4d  refused %4d (%4.1f%% after %v, p99 %5v)  failed %3d  first token p95 %5v  whole p50 %5v p95 %5v",
		s.goodput, s.done, s.refused, 100*float64(s.late)/float64(max(1, s.refused)), lateAfter, s.refusal99, s.failed, s.first95, s.whole50, s.whole95)
}
