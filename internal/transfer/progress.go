package transfer

import (
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Phases of a transfer, as in wire.RolloutProgress.
const (
	PhaseManifest = "manifest"
	PhaseFetching = "fetching"
	PhaseVerified = "verified"
	PhaseFailed   = "failed"
)

// progress is the state of one set's transfer.
type progress struct {
	mu    sync.Mutex
	state wire.RolloutProgress
}

func newProgress(setID string) *progress {
	return &progress{state: wire.RolloutProgress{SetID: setID, Phase: PhaseManifest}}
}

func (p *progress) snapshot() wire.RolloutProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *progress) setPhase(phase, detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Phase, p.state.Detail = phase, detail
}

func (p *progress) setChunksTotal(chunks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.ChunksTotal = chunks
}

// manifestProgress is the part of one manifest. It is used by one goroutine.
type manifestProgress struct {
	set     *progress
	counted int // chunks in the set's count
}

// setChunksHave sets the chunks setChunksHave of the manifest.
func (m *manifestProgress) setChunksHave(chunks int) {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	m.set.state.ChunksHave += chunks - m.counted
	m.counted = chunks
}

// addBytes counts bytes of a chunk by source.
func (m *manifestProgress) addBytes(kind swarm.SourceKind, bytes int64) {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	switch kind {
	case swarm.KindPeer:
		m.set.state.PeerBytes += bytes
	case swarm.KindOrigin:
		m.set.state.OriginBytes += bytes
	}
}
