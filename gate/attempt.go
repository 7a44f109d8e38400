package gate

// ID identifies one attempt. Counter increases within one process start of an
// entry, and Start increases with each process start.
type ID struct {
	Entry   string
	Start   uint64
	Counter uint64
}

// State is the state of an attempt as far as the gate knows it.
type State string

// States of an attempt. Unknown applies to attempts that this process start of
// the gate has not seen or no longer has a record of.
const (
	Unknown State = "unknown"
	Refused State = "refused"
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Fenced  State = "fenced"
)

// Reason is the reason for refusing an attempt. Callers of the gate add their
// own reasons through Conditions.
type Reason string

// Reasons given by the gate itself.
const (
	Draining     Reason = "draining"
	AtCapacity   Reason = "at-capacity"
	SetNotLoaded Reason = "set-not-loaded"
	// ExclusiveBusy refuses a request that must run exclusively when others were
	// still running after ExclusiveWait.
	ExclusiveBusy Reason = "exclusive-busy"
	// ExclusiveRunning refuses requests while another one runs exclusively or
	// waits to.
	ExclusiveRunning Reason = "exclusive-running"
	AlreadySeen      Reason = "attempt-already-seen"
	AttemptFenced    Reason = "attempt-fenced"
	TooOld           Reason = "attempt-too-old"
	TooManyEntries   Reason = "too-many-entries"
)

// Request describes an attempt to start.
type Request struct {
	ID ID
	// Set is the pinned weights set. Empty for plain services.
	Set         string
	Fingerprint string
	// Exclusive requires that no other attempt runs meanwhile.
	Exclusive bool
}

// Conditions is the caller's state at the time of the decision.
type Conditions struct {
	// Refusal, if set, refuses all work, for example because the lease has
	// expired or the engine is not ready.
	Refusal Reason
	// Sets lists the weights sets that may be served now.
	Sets []string
	// NoSets is true for plain services, whose requests pin no set.
	NoSets bool
}

// Verdict is the gate's answer to a start request.
type Verdict uint8

// Verdicts.
const (
	Refuse Verdict = iota
	Start
	// Wait tells the caller to call Begin again with the same request once an
	// attempt has finished or ExclusiveWait has passed. New work is refused
	// meanwhile.
	Wait
)

// Decision is a verdict with the reason for a refusal. ProvesNotRun is true when the
// refusal proves that the attempt has not run and will not run. The refusal of a
// repeated identifier proves nothing.
type Decision struct {
	Verdict      Verdict
	Reason       Reason
	ProvesNotRun bool
}

// Attempt is a running attempt.
type Attempt struct {
	ID          ID
	Fingerprint string
	Exclusive   bool
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	switch v {
	case Start:
		return "start"
	case Wait:
		return "wait"
	}
	return "refuse"
}
