package fleetclient

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

const (
	// maxAgeRoundTrip is the longest round trip of a request for the ages of the named weights
	// whose reply counts. The ages are exact up to the time of the request's way.
	maxAgeRoundTrip = 200 * time.Millisecond
	// maxAgeRequests limits the requests after one message. A replica or a link may be slow for a
	// while.
	maxAgeRequests     = 20
	ageRequestInterval = 250 * time.Millisecond
)

// requester sends requests to a replica.
type requester interface {
	Request(ctx context.Context, msg wire.Message, out any) error
}

// handle handles a message of a replica. The age of a version in it is that at the time when the
// message was encoded, and it may have been delayed, by a link or because this process did not run.
// An entry therefore asks the replica for the ages if a version was not known before.
func (c *Client) handle(ctx context.Context, address string, s requester, env wire.Envelope) {
	if c.receive(address, env) && c.Self().Role == wire.RoleEntry {
		go c.requestAges(ctx, address, s)
	}
}

// knowsWeights reports whether all named versions of a message are known. The caller holds mu.
func (c *Client) knowsWeights(m wire.Fleet) bool {
	return !slices.ContainsFunc(m.Weights, func(w wire.NamedWeights) bool {
		return !slices.ContainsFunc(c.weights[w.Model], func(held NamedVersion) bool { return held.Version == w.Version })
	})
}

// requestAges asks a replica for the named versions until a reply comes without delay. Their ages
// count from the request, so that no version is taken for younger than it is.
func (c *Client) requestAges(ctx context.Context, address string, s requester) {
	for range maxAgeRequests {
		var reply wire.Weights
		sent := time.Now()
		rctx, cancel := context.WithTimeout(ctx, requestTimeout)
		err := s.Request(rctx, wire.WeightsRequest{}, &reply)
		cancel()
		if err == nil && time.Since(sent) <= maxAgeRoundTrip {
			c.mu.Lock()
			for _, w := range reply.Named {
				c.recordWeights(w, sent.Add(-time.Duration(w.AgeMs)*time.Millisecond), address)
			}
			c.mu.Unlock()
			c.notifyChange()
			return
		}
		var refused wire.Error // a replica of an earlier version does not know the request
		if errors.As(err, &refused) || errors.Is(err, transport.ErrClosed) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ageRequestInterval):
		}
	}
}
