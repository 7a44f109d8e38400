package gate

// ID identifies one attempt. Counter increases within one process start of an
// entry; Start increases with each of its process starts.
type ID struct {
	Entry   string
	Start   uint64
	Counter uint64
}

// State is what the gate knows of an attempt.
type State string

// States of an attempt. Unknown covers attempts that this process start of the
// gate has not seen or has forgotten.
const (
	Unknown State = "unknown"
	Refused State = "refused"
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Fenced  State = "fenced"
)

// Reason says why an attempt was refused. The layer around the gate adds its
// own reasons through Conditions.
type Reason string

// Reasons of the gate itself.
const (
	Draining     Reason = "draining"
	AtCapacity   Reason = "at-capacity"
	SetNotLoaded Reason = "set-not-loaded"
	// ExclusiveBusy refuses a request that has to run alone while others run.
	ExclusiveBusy Reason = "exclusive-busy"
	// ExclusiveRunning refuses others while one runs, or waits to run, alone.
	ExclusiveRunning Reason = "exclusive-running"
	AlreadySeen      Reason = "attempt-already-seen"
	WasFenced        Reason = "attempt-fenced"
	TooOld           Reason = "attempt-too-old"
	TooManyEntries   Reason = "too-many-entries"
)

// Request describes an attempt that asks to start.
type Request struct {
	ID ID
	// Set is the pinned weights set. Empty for plain services.
	Set         string
	Fingerprint string
	// Alone requires that nothing else runs meanwhile.
	Alone bool
}

// Conditions are the facts that the layer around the gate knows at the moment
// of the decision.
type Conditions struct {
	// Refusal, when not empty, refuses all work: no lease, engine not ready.
	Refusal Reason
	// Sets are the weights sets that may be served now.
	Sets []string
	// NoSets is true for plain services, whose requests pin no set.
	NoSets bool
}

// Verdict is the answer to a request to start.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota
	Start
	// Wait asks to call Begin again with the same request when an attempt has
	// finished or ExclusiveWait has passed. New work is refused meanwhile.
	Wait
)

// Decision is a verdict with the reason of a refusal. Proved is set when the
// refusal proves that the attempt has not run; a repeated identifier does not.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Proved  bool
}

// Attempt is a running attempt.
type Attempt struct {
	ID          ID
	Fingerprint string
	Alone       bool
}

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Start:
		return "start"
	case Wait:
		return "wait"
	}
	return "refuse"
}
