package transport

import (
	"context"
	"sync"
	"time"
)

// watcher closes sessions whose peers are silent. All sessions of a server share
// one timer, because a control replica has hundreds of them.
type watcher struct {
	mu       sync.Mutex
	sessions map[*Session]*peerActivity
	stop     chan struct{} // closed when no sessions are left
}

type peerActivity struct {
	lastActivity    uint64 // Session.activity at the last check
	silentIntervals int    // consecutive checks without activity
}

// watch monitors a session until ctx ends. It starts the goroutine of run for the
// first session and stops it after the last.
func (w *watcher) watch(ctx context.Context, s *Session) {
	w.mu.Lock()
	if w.sessions == nil {
		w.sessions = map[*Session]*peerActivity{}
	}
	w.sessions[s] = &peerActivity{lastActivity: s.activity.Load()}
	if len(w.sessions) == 1 {
		w.stop = make(chan struct{})
		go w.run(w.stop)
	}
	w.mu.Unlock()
	<-ctx.Done()
	w.mu.Lock()
	if delete(w.sessions, s); len(w.sessions) == 0 {
		close(w.stop)
	}
	w.mu.Unlock()
}

// run checks all sessions once per pingInterval.
func (w *watcher) run(stop <-chan struct{}) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			w.endSilentSessions()
		}
	}
}

// endSilentSessions closes sessions without activity for maxSilentIntervals checks
// in a row.
func (w *watcher) endSilentSessions() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, peer := range w.sessions {
		if heard := s.activity.Load(); heard != peer.lastActivity {
			peer.lastActivity, peer.silentIntervals = heard, 0
			continue
		}
		if peer.silentIntervals++; peer.silentIntervals >= maxSilentIntervals {
			s.cancel()
		}
	}
}
