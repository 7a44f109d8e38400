package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// maxPendingSignals is the number of signals that may wait to be handled. Further ones
// are dropped.
const maxPendingSignals = 16

// notifySignals returns the signals that a daemon handles. SIGHUP and SIGTERM are handled
// from here to the end of the process: their default action would cut off the requests
// in progress. So would that of SIGPIPE, which a write to standard output raises once the
// reader of the logs has ended; it is caught and ignored.
func notifySignals() <-chan os.Signal {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // the write then returns an error
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// handleSignals calls stop on SIGTERM and SIGINT, and reports SIGHUP to hangups, until ctx
// ends. A second SIGINT ends the process, so that a user at a terminal need not wait for
// the drain.
func handleSignals(ctx context.Context, signals <-chan os.Signal, stop func(), hangups chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				log.Info("reload_requested")
				select {
				case hangups <- struct{}{}:
				default: // a reload is already pending
				}
				continue
			}
			log.WithField("cause", s.String()).Info("stop_requested")
			if s == os.Interrupt {
				signal.Reset(os.Interrupt)
			}
			stop()
		}
	}
}
