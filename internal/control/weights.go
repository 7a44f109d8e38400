package control

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Weights returns the named versions with their ages now.
func (f *fleet) Weights(now time.Time) wire.Weights {
	f.mu.Lock()
	defer f.mu.Unlock()
	named, _ := f.namedWeights(f.view(), now)
	return wire.Weights{Named: named}
}
