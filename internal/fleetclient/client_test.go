package fleetclient

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Guards against requests that start on outdated weights after the bound has passed. The
// bound counts from when the first newer version was named, not the newest one, and from
// the earliest time that any replica reports.
func TestSupersededAtFirstNewerVersion(t *testing.T) {
	is := is.New(t)
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{})
	now := time.Now()
	is.True(c.SupersededAt("m", 1).IsZero())
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 2}, now.Add(-time.Second), "a")
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 2}, now.Add(-4*time.Second), "b")
	c.recordWeights(wire.NamedWeights{Model: "m", Version: 3}, now, "a")
	is.Equal(c.SupersededAt("m", 1), now.Add(-4*time.Second))
	is.Equal(c.SupersededAt("m", 2), now)
	is.True(c.SupersededAt("m", 3).IsZero())
	is.True(c.SupersededAt("other", 1).IsZero())
	is.Equal(c.RequiredWeights("m", 3*time.Second), uint64(2))
	is.Equal(c.RequiredWeights("m", 5*time.Second), uint64(0))
}
