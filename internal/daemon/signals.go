package daemon

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/apex/log"
)

// signals holds the signals that a daemon handles, from the start to the end of the
// process: the default action of SIGTERM and SIGHUP would cut off the requests in
// progress.
type signals struct {
	// stops and hangups are separate, so that a series of SIGHUP does not displace
	// SIGTERM.
	stops, hangups chan os.Signal
}

func notifySignals() signals {
	s := signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// A write to standard output raises SIGPIPE once the reader of the logs has ended. If
	// the signal is caught, the write returns an error instead.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	return s
}

// handleStops calls stop on SIGTERM and SIGINT until ctx ends. A second SIGINT ends the
// process, so that a user at a terminal need not wait for the drain.
func (s signals) handleStops(ctx context.Context, stop func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-s.stops:
			if received == os.Interrupt {
				signal.Reset(os.Interrupt)
			}
			stop() // before the log line, which may block
			logger().WithField("cause", received.String()).Info("stop_requested")
		}
	}
}

// currentLogger is the logger that was set by SetLogger.
var currentLogger atomic.Pointer[log.Interface]

// SetLogger sets the logger for stop requests and reloads. Without it, they are logged as
// text on standard error.
func SetLogger(l log.Interface) { currentLogger.Store(&l) }

func logger() log.Interface {
	if l := currentLogger.Load(); l != nil {
		return *l
	}
	return log.Log
}
