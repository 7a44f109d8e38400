package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against a replica that does not tell entries on request how long ago weights were named.
func TestAgesOfWeightsOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, nil)
		is.NoErr(c.leader().NameWeights(t.Context(), "m", 2))
		named := time.Now()
		time.Sleep(3 * time.Second)
		for _, address := range c.session {
			s, err := (&transport.Dialer{
				Address: address, Token: c.token.Secret(), Network: c.net.Host("x"),
				Handler: func(context.Context, *transport.Session, wire.Envelope) {},
			}).Connect(t.Context())
			is.NoErr(err)
			var reply wire.Weights
			is.NoErr(s.Request(t.Context(), wire.WeightsRequest{}, &reply))
			s.Close()
			<-s.Done()
			is.Equal(len(reply.Named), 1)
			is.Equal(reply.Named[0].Version, uint64(2))
			age, since := time.Duration(reply.Named[0].AgeMs)*time.Millisecond, time.Since(named)
			is.True(age > since-100*time.Millisecond && age < since+100*time.Millisecond)
		}
	})
}
