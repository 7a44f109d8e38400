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
	// before is the number of chunks held of the manifests already done.
	before int
}

func newProgress(setID string) *progress {
	return &progress{state: wire.RolloutProgress{SetID: setID, Phase: PhaseManifest}}
}

func (p *progress) snapshot() wire.RolloutProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *progress) phase(phase, detail string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Phase, p.state.Detail = phase, detail
}

func (p *progress) total(chunks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.ChunksTotal = chunks
}

// manifestDone adds the chunks of a manifest whose transfer has ended.
func (p *progress) manifestDone(chunks int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before += chunks
	p.state.ChunksHave = p.before
}

func (p *progress) add(kind swarm.Kind, bytes int64, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.ChunksHave = p.before + held
	switch kind {
	case swarm.KindPeer:
		p.state.PeerBytes += bytes
	case swarm.KindOrigin:
		p.state.OriginBytes += bytes
	}
}
