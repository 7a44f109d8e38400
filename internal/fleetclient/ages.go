package fleetclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// maxAgeRoundTrip is the longest round trip of a request for the ages of the named weights
	// whose reply counts at once. The ages are exact up to the time of the request's way.
	maxAgeRoundTrip = 200 * time.Millisecond
	// ageRequestInterval is the minimum time between two rounds of requests, in case many versions
	// are named within seconds or all replies are slow.
	ageRequestInterval = 250 * time.Millisecond
	// maxSlowAgeRounds is the number of rounds with slow replies only after which the fastest of
	// the last round counts. Versions are then taken for older than they are by up to its round
	// trip.
	maxSlowAgeRounds = 8
)

// agesRequest is the state of the requests for the ages of named versions.
type agesRequest struct {
	due, pending bool
	lastSent     time.Time
	slowRounds   int // in a row
}

// requester sends requests to a replica.
type requester interface {
	Request(ctx context.Context, msg wire.Message, out any) error
	Peer() string
}

// requestAges asks the replicas for the ages of the named versions if this process has learned of a
// new one. The age in a message is that at the time when the message was encoded, and the message may
// have been delayed, by a link or because this process did not run. A reply cannot be older than its
// request.
func (c *Client) requestAges(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ages.due || c.ages.pending || now.Sub(c.ages.lastSent) < ageRequestInterval {
		return
	}
	var sessions []requester
	for _, s := range c.sessions() {
		sessions = append(sessions, s)
	}
	if len(sessions) == 0 {
		return
	}
	c.ages.due, c.ages.pending, c.ages.lastSent = false, true, now
	wg.Go(func() {
		answered := c.requestAgesFrom(ctx, sessions)
		c.mu.Lock()
		c.ages.pending = false
		c.ages.due = c.ages.due || !answered
		c.mu.Unlock()
		c.notifyChange()
	})
}

// requestAgesFrom asks one replica after another for the named versions until a reply comes without
// delay, and reports whether the ages need not be asked for again. They count from the request, so
// that no version is taken for younger than it is.
func (c *Client) requestAgesFrom(ctx context.Context, sessions []requester) bool {
	var slow wire.Weights // the fastest of the slow replies
	var slowSent time.Time
	slowFrom, slowTook := "", time.Duration(0)
	refusals := 0
	for _, s := range sessions {
		var reply wire.Weights
		sent := time.Now()
		rctx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := s.Request(rctx, wire.WeightsRequest{}, &reply)
		cancel()
		took := time.Since(sent)
		var refused wire.Error
		switch {
		case errors.As(err, &refused): // a replica of an earlier version does not know the request
			refusals++
		case err != nil:
		case took <= maxAgeRoundTrip:
			c.recordAges(reply, sent, s.Peer())
			return true
		case slowFrom == "" || took < slowTook:
			slow, slowSent, slowFrom, slowTook = reply, sent, s.Peer(), took
		}
	}
	if refusals == len(sessions) {
		return true
	}
	c.mu.Lock()
	c.ages.slowRounds++
	last := c.ages.slowRounds >= maxSlowAgeRounds && slowFrom != ""
	c.mu.Unlock()
	if last {
		c.recordAges(slow, slowSent, slowFrom)
	}
	return last
}

// recordAges records the versions in a reply to a request that was sent at the given time.
func (c *Client) recordAges(reply wire.Weights, sent time.Time, replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ages.slowRounds = 0
	for _, w := range reply.Named {
		c.recordWeights(w, sent.Add(-time.Duration(w.AgeMs)*time.Millisecond), replica)
	}
}
