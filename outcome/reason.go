package outcome

// Reason is the reason why a request was refused, retried or ended without a
// complete answer. Values appear in headers and metric labels and must not change.
type Reason string

// Reasons for refusing a request.
const (
	EmptyBody         Reason = "empty-body"
	InvalidBody       Reason = "invalid-body"
	BodyTooLarge      Reason = "body-too-large"
	MemoryBudget      Reason = "memory-budget"
	BodyTooSlow       Reason = "body-too-slow"
	MissingModel      Reason = "missing-model"
	UnknownModel      Reason = "unknown-model"
	UnknownService    Reason = "unknown-service"
	InvalidHeader     Reason = "invalid-header"
	Unauthorized      Reason = "unauthorized"
	NoCatalogue       Reason = "no-catalogue"
	NoEndpoint        Reason = "no-endpoint"
	OverShare         Reason = "over-share"
	OverLimit         Reason = "over-limit"
	DeadlineTooShort  Reason = "deadline-too-short"
	Quarantined       Reason = "quarantined"
	SuspectBusy       Reason = "suspect-busy"
	MissingKey        Reason = "missing-key"
	KeyConflict       Reason = "key-conflict"
	KeyExpired        Reason = "key-expired"
	ClaimsUnavailable Reason = "claims-unavailable"
	OwnerLost         Reason = "owner-lost"
	StillRunning      Reason = "still-running"
	CallerGone        Reason = "caller-gone"
	RetriesExhausted  Reason = "retries-exhausted"
	RetryBudget       Reason = "retry-budget"
	WeightsSetGone    Reason = "weights-set-gone"
	Stopping          Reason = "stopping"
)

// Reasons for ending an attempt. If the request allows it, another attempt
// follows.
const (
	GateRefused   Reason = "gate-refused"
	SetNotLoaded  Reason = "set-not-loaded"
	ConnectFailed Reason = "connect-failed"
	CutShort      Reason = "cut-short"
	Stalled       Reason = "stalled"
	Deadline      Reason = "deadline"
	EngineError   Reason = "engine-error"
	WrongAttempt  Reason = "wrong-attempt"
	WrongSet      Reason = "wrong-set"
	RepeatedToken Reason = "repeated-token"
	SkippedToken  Reason = "skipped-token"
	SuspectCopy   Reason = "suspect-copy"
)

// RefusalReasons returns the reasons for refusing a request.
func RefusalReasons() []Reason {
	return []Reason{
		EmptyBody,
		InvalidBody,
		BodyTooLarge,
		MemoryBudget,
		BodyTooSlow,
		MissingModel,
		UnknownModel,
		UnknownService,
		InvalidHeader,
		Unauthorized,
		NoCatalogue,
		NoEndpoint,
		OverShare,
		OverLimit,
		DeadlineTooShort,
		Quarantined,
		SuspectBusy,
		MissingKey,
		KeyConflict,
		KeyExpired,
		ClaimsUnavailable,
		OwnerLost,
		StillRunning,
		CallerGone,
		RetriesExhausted,
		RetryBudget,
		WeightsSetGone,
		Stopping,
	}
}

// AttemptReasons returns the reasons for ending an attempt.
func AttemptReasons() []Reason {
	return []Reason{
		GateRefused,
		SetNotLoaded,
		ConnectFailed,
		CutShort,
		Stalled,
		Deadline,
		EngineError,
		WrongAttempt,
		WrongSet,
		RepeatedToken,
		SkippedToken,
		SuspectCopy,
	}
}
