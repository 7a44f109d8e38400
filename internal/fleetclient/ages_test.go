package fleetclient

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// slowReplica replies to requests for the named weights, each on its way and back as long as given.
type slowReplica struct {
	named time.Time     // when version 2 was named
	there time.Duration // of the first request
	back  time.Duration // of the first reply
	slow  bool          // all are as slow as the first ones
	asked int
	err   error
}

func (r *slowReplica) Request(_ context.Context, _ wire.Message, out any) error {
	there, back := r.there, r.back
	if r.asked++; r.asked > 1 && !r.slow {
		there, back = time.Millisecond, time.Millisecond
	}
	time.Sleep(there)
	*out.(*wire.Weights) = wire.Weights{Named: []wire.NamedWeights{{Model: "m", Version: 2, AgeMs: time.Since(r.named).Milliseconds()}}}
	time.Sleep(back)
	return r.err
}

func (r *slowReplica) Peer() string { return "replica-1" }

// Guards against requests that begin on superseded weights because the message that named the newer
// version was delayed, or that are refused early because a request for its age was.
func TestAgeOfWeightsInDelayedMessage(t *testing.T) {
	for name, c := range map[string]struct {
		delay   time.Duration // of the message
		replica slowReplica
		asked   int
		early   time.Duration // by how much the version may be taken for older
		late    time.Duration // and for younger
	}{
		"message in time":               {time.Millisecond, slowReplica{there: time.Millisecond}, 1, 2 * time.Millisecond, 0},
		"delayed message":               {3 * time.Second, slowReplica{there: time.Millisecond}, 1, 2 * time.Millisecond, 0},
		"delayed request":               {3 * time.Second, slowReplica{there: 2 * time.Second}, 2, 2 * time.Millisecond, 0},
		"delayed reply":                 {3 * time.Second, slowReplica{back: 2 * time.Second}, 2, 2 * time.Millisecond, 0},
		"only delayed requests":         {3 * time.Second, slowReplica{there: 500 * time.Millisecond, slow: true}, maxSlowAgeRounds, 500 * time.Millisecond, 0},
		"replica of an earlier version": {3 * time.Second, slowReplica{err: wire.Error{Code: "unsupported"}}, 1, 0, 3 * time.Second},
	} {
		for _, role := range []wire.Role{wire.RoleEntry, wire.RoleStager} {
			t.Run(fmt.Sprint(name, " at role ", role), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					client := testClient()
					client.self.Role = role
					replica := c.replica
					replica.named = time.Now()
					body, err := wire.Marshal(wire.Fleet{Weights: []wire.NamedWeights{{Model: "m", Version: 2}}})
					is.NoErr(err)
					time.Sleep(c.delay)
					env := wire.Envelope{Type: wire.TypeFleet, Body: body}
					for range 2 { // the second message has nothing new
						client.receive("replica-1", env)
						for client.ages.due {
							client.ages.due = !client.requestAgesFrom(t.Context(), []requester{&replica})
							time.Sleep(ageRequestInterval)
						}
					}
					is.Equal(replica.asked, c.asked)
					since := client.SupersededAt("m", 1)
					is.True(!since.Before(replica.named.Add(-c.early)))
					is.True(!since.After(replica.named.Add(c.late)))
				})
			})
		}
	}
}
