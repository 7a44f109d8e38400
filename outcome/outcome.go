package outcome

// Outcome is the final state of a request or attempt.
type Outcome string

// Outcomes. NotRun is given only when it is proved that the request has not
// run and cannot start later.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)
