package transfer

import (
	"sync"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// Phases of a transfer, as reported in wire.RolloutProgress.
const (
	PhaseManifest = "manifest"
	PhaseFetching = "fetching"
	PhaseVerified = "verified"
	PhaseFailed   = "failed"
)

// progress tracks the transfer of one weights set.
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

// manifestProgress adds the progress of one manifest to that of its set. It must
// be used by one goroutine at a time.
type manifestProgress struct {
	set     *progress
	counted int // chunks of this manifest included in set.state.ChunksHave
}

// setChunksHave sets the number of held chunks of the manifest.
func (m *manifestProgress) setChunksHave(chunks int) {
	m.set.mu.Lock()
	defer m.set.mu.Unlock()
	m.set.state.ChunksHave += chunks - m.counted
	m.counted = chunks
}

// addBytes adds the size of a fetched chunk to the total of its kind of source.
// Bytes from the store are not counted.
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
