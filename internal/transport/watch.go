package transport

import (
	"context"
	"sync"
	"time"
)

// watcher ends sessions whose peers are silent. One timer serves all of them, since a
// control replica has hundreds.
type watcher struct {
	mu       sync.Mutex
	sessions map[*Session]*peerActivity
	stop     chan struct{} // closed when there is no session left
}

type peerActivity struct {
	lastActivity    uint64 // as it was at the last look
	silentIntervals int    // looks without news
}

// watch adds a session until ctx ends.
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

// run looks at all sessions at intervals.
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

// endSilentSessions ends the sessions that were silent for too long.
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
