package swarm

import "time"

// Fault is the cause of a failed fetch.
type Fault string

// Faults.
const (
	FaultCorrupt     Fault = "corrupt"     // content does not match the digest
	FaultStalled     Fault = "stalled"     // timed out without a complete chunk
	FaultMissing     Fault = "missing"     // the source does not have the chunk it reported
	FaultRefused     Fault = "refused"     // the region-link rule forbids it
	FaultBusy        Fault = "busy"        // the source asked for a pause
	FaultUnavailable Fault = "unavailable" // connection refused or broken, server error
)

// backoff is an exponential backoff: the first pause and its upper limit.
type backoff struct {
	first, limit time.Duration
}

var peerBackoff = map[Fault]backoff{
	// A corrupt chunk from a peer most likely means a faulty disk or memory,
	// which does not recover by itself.
	FaultCorrupt:     {10 * time.Minute, 24 * time.Hour},
	FaultStalled:     {10 * time.Second, 10 * time.Minute},
	FaultMissing:     {5 * time.Second, 10 * time.Minute},
	FaultBusy:        {time.Second, 30 * time.Second},
	FaultUnavailable: {time.Second, 30 * time.Second},
}

var upstreamBackoff = map[Fault]backoff{
	FaultStalled:     {time.Second, 30 * time.Second},
	FaultBusy:        {time.Second, time.Minute},
	FaultUnavailable: {500 * time.Millisecond, 10 * time.Second},
}

// chunkBackoff applies to a single chunk at the store or origin, since an object
// can change while it is copied. The other chunks stay available.
var chunkBackoff = backoff{time.Second, time.Minute}

const maxDoublings = 16

func (b backoff) after(count int) time.Duration {
	return min(b.first<<min(count-1, maxDoublings), b.limit)
}

type penalty struct {
	counts map[Fault]int
	until  time.Duration
}

// Penalties tracks faulty sources and how long to avoid them. All schedulers of
// an instance share it, so that a faulty source is also avoided in later
// transfers. It is not safe for concurrent use.
type Penalties struct {
	sources map[Source]*penalty
}

// NewPenalties returns Penalties without entries.
func NewPenalties() *Penalties { return &Penalties{sources: map[Source]*penalty{}} }

// Until returns the time until which the source is avoided.
func (p *Penalties) Until(source Source) time.Duration {
	if e, ok := p.sources[source]; ok {
		return e.until
	}
	return 0
}

// Avoided reports whether the source is avoided at the given time.
func (p *Penalties) Avoided(now time.Duration, source Source) bool { return now < p.Until(source) }

// recordFault records a fault of a source, which is then avoided for the backoff
// of the fault and at least for retryAfter. Faults without a backoff are ignored.
func (p *Penalties) recordFault(now time.Duration, source Source, fault Fault, retryAfter time.Duration) {
	table := peerBackoff
	if source.Kind != KindPeer {
		table = upstreamBackoff
	}
	pause, ok := table[fault]
	if !ok {
		return
	}
	e := p.sources[source]
	if e == nil {
		e = &penalty{counts: map[Fault]int{}}
		p.sources[source] = e
	}
	e.counts[fault]++
	e.until = max(e.until, now+max(pause.after(e.counts[fault]), retryAfter))
}

// recordSuccess clears the faults that can be transient, that is all except
// corruption.
func (p *Penalties) recordSuccess(source Source) {
	e := p.sources[source]
	if e == nil {
		return
	}
	for fault := range e.counts {
		if fault != FaultCorrupt {
			delete(e.counts, fault)
		}
	}
	if len(e.counts) == 0 {
		delete(p.sources, source)
	}
}
