package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rhubarbhill/rhubarbhill/outcome"
)

// Guards against a stream of a sound endpoint that is ended after a pause although no other
// endpoint can continue it.
func TestPausedStreamWithoutAlternativeIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := engineGate("engine-1")
		g.Tokens, g.PerToken = 12, 500*time.Millisecond // longer than the stall timeout
		c := newCluster(t, g)
		e := c.addEntry()
		a := e.chat(true, "plan")
		t.Logf("text %q, outcome %q, reason %q, error %q", a.text, a.outcome(), a.reason(), a.errorCode)
		c.is.NoErr(a.err)
		c.is.True(a.done)
		c.is.Equal(a.outcome(), string(outcome.Done))
	})
}
