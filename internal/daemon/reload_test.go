package daemon

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

type reloaded struct {
	Instance string `yaml:"instance"`
	Extra    string `yaml:"extra"`
}

func (c *reloaded) Check() error {
	var p settings.Problems
	p.Required("instance", c.Instance)
	return p.Err()
}

// Guards against a process that ends on SIGHUP, that applies invalid settings, or
// that keeps old values of fields that the new file omits.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write("instance: one\nextra: x\n")
	reloads := watchSettings(t.Context(), path, reloaded{Extra: "default"}, notifySignals().hangups)
	hangUp := func() { is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	next := func() *reloaded {
		select {
		case c := <-reloads:
			return c.(*reloaded)
		case <-time.After(10 * time.Second):
			t.Fatal("settings were not reloaded")
			return nil
		}
	}
	write("instance: [\n")
	hangUp()
	write("instance: two\n")
	hangUp()
	is.Equal(*next(), reloaded{Instance: "two", Extra: "default"})
	// The file is also reloaded without a signal.
	write("instance: three\n")
	is.NoErr(os.Chtimes(path, time.Now().Add(time.Minute), time.Now().Add(time.Minute)))
	for c := next(); c.Instance != "three"; c = next() {
		is.Equal(c.Instance, "two") // the poll may reload it again
	}
}

// Guards against stop requests that are missing in the logs of the daemon, or that are
// logged there without the fields of its other lines.
func TestStopRequestIsLogged(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	SetLogger((&log.Logger{Handler: handler, Level: log.InfoLevel}).WithField("instance", "a"))
	defer currentLogger.Store(nil)
	ctx, cancel := context.WithCancel(t.Context())
	s := signals{stops: make(chan os.Signal, 1)}
	s.stops <- syscall.SIGTERM
	var done sync.WaitGroup
	done.Go(func() { s.handleStops(ctx, cancel) })
	done.Wait()
	is.Equal(len(handler.Entries), 1)
	is.Equal(handler.Entries[0].Message, "stop_requested")
	is.Equal(handler.Entries[0].Fields, log.Fields{"instance": "a", "cause": "terminated"})
}
