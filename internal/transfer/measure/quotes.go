package main

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Quotes are streams of a model server on the same machine link as the chunks.
const (
	quotePath       = "/quote"
	firstTokenDelay = 300 * time.Millisecond
	tokenDelay      = 40 * time.Millisecond
	quoteTokens     = 10
	quoteToken      = "data: {\"choices\":[{\"delta\":{\"content\":\"a few words of text\"}}]}\n"
	quotesPerServer = 2
)

func serveQuote(w http.ResponseWriter, _ *http.Request) {
	flusher := http.NewResponseController(w)
	time.Sleep(firstTokenDelay)
	for range quoteTokens {
		_, _ = w.Write([]byte(quoteToken))
		_ = flusher.Flush()
		time.Sleep(tokenDelay)
	}
}

// quoteLoad keeps quotes running against servers and collects latencies.
type quoteLoad struct {
	client  http.Client
	mu      sync.Mutex
	first   map[string][]time.Duration // by server
	between map[string][]time.Duration
}

func newQuoteLoad() *quoteLoad {
	return &quoteLoad{first: map[string][]time.Duration{}, between: map[string][]time.Duration{}}
}

func (q *quoteLoad) run(ctx context.Context, addresses []string) {
	var wg sync.WaitGroup
	for _, address := range addresses {
		for range quotesPerServer {
			wg.Go(func() {
				for ctx.Err() == nil {
					q.quote(ctx, address)
				}
			})
		}
	}
	wg.Wait()
}

func (q *quoteLoad) quote(ctx context.Context, address string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+quotePath, nil)
	if err != nil {
		return
	}
	last := time.Now()
	response, err := q.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for n := 0; lines.Scan(); n++ {
		now := time.Now()
		q.add(address, n == 0, now.Sub(last))
		last = now
	}
}

func (q *quoteLoad) add(address string, first bool, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if first {
		q.first[address] = append(q.first[address], d)
	} else {
		q.between[address] = append(q.between[address], d)
	}
}

// p95 gives the percentiles of all servers since the last call to reset.
func (q *quoteLoad) p95() (first, between time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return percentile(q.first), percentile(q.between)
}

func (q *quoteLoad) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.first)
	clear(q.between)
}

// recent gives the median of a server's last gaps between tokens.
func (q *quoteLoad) recent(address string) time.Duration {
	const last = 20
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.between[address]
	return median(slices.Clone(list[max(0, len(list)-last):]))
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

func percentile(groups map[string][]time.Duration) time.Duration {
	var all []time.Duration
	for _, list := range groups {
		all = append(all, list...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}
