package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// freezeTime is how long the front machine stands still. lingerTime is how long the
// leaving server serves after drainTime.
const (
	freezeTime = 6 * time.Second
	lingerTime = 7 * time.Second
)

// departure lets a server leave while a front machine stands still, and checks rule DRAIN:
// no request reaches the server later than drainTime after the acknowledgement, if it was
// taken from the client and sent on by a machine in touch.
func departure(c *cluster) (bool, error) {
	if _, err := c.controls(5); err != nil {
		return false, err
	}
	fronts, err := c.fronts(4)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	reached := map[string]map[string]time.Time{} // by server and request
	var servers []*server
	for i := range 3 {
		s := newServer(c, fmt.Sprintf("i-%d", i+1), "dispatch", 71+i, 6)
		reached[s.id] = map[string]time.Time{}
		s.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			mu.Lock()
			reached[s.id][r.Header.Get("X-Request-Id")] = time.Now()
			mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(w, "booked\n")
		}
		if err := s.run(); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	config := configuration(7, []map[string]any{route("book", "unsafe", "/book/", "dispatch", 800, 1)}, []map[string]any{plainService("dispatch")})
	if !c.configure(config) || !c.awaitReady(fronts) {
		return false, errCannotRun
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	callers := startCallers(ctx, c)
	time.Sleep(3 * time.Second)

	frozen, leaving := fronts[0], servers[0]
	if c.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(freezeTime - time.Second)
	left := leaving.deregisterAt(leaving.lastNode())
	if left.IsZero() {
		return false, errCannotRun
	}
	time.Sleep(time.Second)
	if c.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	woke := time.Now()
	time.Sleep(time.Until(left.Add(drainTime + lingerTime)))
	leaving.exit()
	time.Sleep(time.Second)
	stop()
	callers.Wait()

	// The front machine that was frozen is in touch stabilityWindow after it woke, the
	// other one all the time.
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for id, at := range reached[leaving.id] {
		sent := callers.sent[id]
		inTouch := sent.at.After(left) && (sent.front != frozen.ip || !c.trouble || sent.at.After(woke.Add(stabilityWindow)))
		if at.After(left.Add(drainTime)) && inTouch {
			late++
			c.note("DRAIN    %s, sent to %s, reaches %s %.3f s after its departure was acknowledged, %.3f s after the front woke", id, sent.front, leaving.id, at.Sub(left).Seconds(), at.Sub(woke).Seconds())
		}
	}
	c.note("result   %d requests reached %s too late; %d requests were sent, %d answered with success", late, leaving.id, len(callers.sent), callers.succeeded)
	if callers.succeeded < len(callers.sent)/4 {
		return false, errCannotRun
	}
	return late == 0, nil
}

// callerLoad sends bookings to the fronts that the directory names.
type callerLoad struct {
	sync.WaitGroup

	mu        sync.Mutex
	sent      map[string]sentRequest
	succeeded int
}

type sentRequest struct {
	front string
	at    time.Time
}

// startCallers starts 8 callers with 5 requests a second each.
func startCallers(ctx context.Context, c *cluster) *callerLoad {
	l := &callerLoad{sent: map[string]sentRequest{}}
	for range 8 {
		l.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			var addresses []string
			var resolved time.Time
			for ctx.Err() == nil {
				if time.Since(resolved) > time.Second {
					if found := c.resolve(); found != nil {
						addresses, resolved = found, time.Now()
					}
				}
				if len(addresses) > 0 {
					l.book(c, client, addresses[rand.IntN(len(addresses))])
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return l
}

// book sends one booking.
func (l *callerLoad) book(c *cluster, client *http.Client, front string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	host, _, _ := strings.Cut(front, ":")
	l.mu.Lock()
	l.sent[id] = sentRequest{host, time.Now()}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/book/1", strings.NewReader("two loads"))
	if err != nil {
		return
	}
	r.Host = "quotes.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1500")
	r.Header.Set("Authorization", "Bearer "+callerKey)
	c.note("sent     %s to %s", id, host)
	answer, err := client.Do(r)
	if err != nil {
		c.note("answer   %s: %v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	c.note("answer   %s: %d, %v", id, answer.StatusCode, err)
	if err == nil && answer.StatusCode == http.StatusOK {
		l.mu.Lock()
		l.succeeded++
		l.mu.Unlock()
	}
}
