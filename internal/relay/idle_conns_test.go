package relay

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against idle connections to endpoints that use up the descriptors: callers that repeat one
// request ID make the pool open a new connection for each request.
func TestIdleConnectionsAreLimitedInAll(t *testing.T) {
	is := is.New(t)
	const limit, endpoints, perEndpoint = 10, 4, 8
	p := newConnPool(nil)
	p.maxIdle = limit
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	for i := range endpoints * perEndpoint {
		key := fmt.Sprint("endpoint-", i%endpoints)
		c, err := p.get(t.Context(), key, listener.Addr().String(), "r")
		is.NoErr(err)
		is.True(!c.reused)
		c.recordID("r")
		p.put(key, c, 0)
		total := 0
		for _, list := range p.idle {
			total += len(list)
		}
		is.Equal(total, min(i+1, limit))
		time.Sleep(time.Millisecond)
	}
	last := fmt.Sprint("endpoint-", (endpoints*perEndpoint-1)%endpoints)
	c, err := p.get(t.Context(), last, listener.Addr().String(), "another")
	is.NoErr(err)
	is.True(c.reused) // the ones that were used last are kept
	is.NoErr(c.Close())
	p.prune(nil)
}
