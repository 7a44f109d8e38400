package outcome

// Outcome is the final state of a request or attempt as reported to its caller.
type Outcome string

// Outcomes. NotRun is reported only when the request provably has not run and
// cannot start later.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)
