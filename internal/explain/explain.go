// Package explain describes the explanations of decisions that processes give on their admin
// ports: where a request would be sent, and which weights an engine would load next.
package explain

import "time"

// Paths on the admin port.
const (
	PathRequest = "/explain/request" // of an entry: POST a Query, answered with a Request
	PathLoad    = "/explain/load"    // of a stager: GET, answered with a Load
)

// Query describes a request that is not sent.
type Query struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method,omitempty"`
	// Key is the API key of the caller. It is in no answer and in no log.
	Key string `json:"key,omitempty"`
	// ID is the request ID, which selects one of several target services. If it is empty, all
	// are explained.
	ID           string   `json:"id,omitempty"`
	Model        string   `json:"model,omitempty"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	LengthHint   int      `json:"length_hint,omitempty"` // expected tokens of the answer
	DeadlineMs   int64    `json:"deadline_ms,omitempty"` // how long the caller waits
	Parts        []string `json:"parts,omitempty"`       // of the prompt, as the caller states them
}

// Outcomes of a request.
const (
	Placed  = "placed"
	Queued  = "queued"
	Refused = "refused"
)

// Request tells what would become of a request.
type Request struct {
	Entry string    `json:"entry"` // that explains
	At    time.Time `json:"at"`
	// Routing is the version of the routing document in force at the entry.
	Routing      uint64 `json:"routing"`
	Route        string `json:"route,omitempty"`
	Kind         string `json:"kind,omitempty"` // safe, unsafe or stream
	Organisation string `json:"organisation,omitempty"`
	// Rank is the priority by which brokers order requests, 0 the highest, and Level that on the
	// scale of engines.
	Rank  int `json:"rank"`
	Level int `json:"level"`
	// RegionsBound is true if only Regions are allowed.
	RegionsBound bool     `json:"regions_bound"`
	Regions      []string `json:"regions,omitempty"`
	Model        string   `json:"model,omitempty"`
	// RequiredVersion is the oldest version of the weights on which the request may run, 0 for any.
	// SoonRequiredVersion is the one from which on endpoints need no proof of being on time.
	RequiredVersion     uint64 `json:"required_version"`
	SoonRequiredVersion uint64 `json:"soon_required_version"`
	// Refusal is set if the request would be refused before a target is selected.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Targets lists the services to which the request could go: the one that the ID selects, or
	// all of a split.
	Targets []Target `json:"targets,omitempty"`
}

// Refusal is the answer to a request that is refused.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMs is the value of Retry-After before a random addition of up to JitterMs.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	JitterMs     int64 `json:"jitter_ms,omitempty"`
}

// Target tells what would become of a request at one service.
type Target struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"` // of the requests of the route, 0 to 1
	// Outcome is placed, queued or refused.
	Outcome string `json:"outcome"`
	// Endpoint is where the request would be sent if it is placed.
	Endpoint string `json:"endpoint,omitempty"`
	// Why tells why the request would wait, if it would.
	Why string `json:"why,omitempty"`
	// WaitMs is the predicted wait for a slot, and MaxWaitMs how long the request may wait.
	WaitMs    int64    `json:"wait_ms,omitempty"`
	MaxWaitMs int64    `json:"max_wait_ms"`
	Refusal   *Refusal `json:"refusal,omitempty"`
	// Suspects and Quarantined are the parts of the request that may crash endpoints, and the one
	// for which it would be refused.
	Suspects    []string `json:"suspects,omitempty"`
	Quarantined string   `json:"quarantined,omitempty"`
	// Views are the decisions that lead to the outcome, in order: those of the brokers that were
	// asked, and that of the entry itself if it decides. The last one counts.
	Views []View `json:"views,omitempty"`
}

// Deciders of a View.
const (
	ByBroker = "broker"
	ByEntry  = "entry"
)

// View is a decision by one process with its knowledge.
type View struct {
	// By is broker or entry, Name the process and Group the group of endpoints of a broker.
	By    string `json:"by"`
	Name  string `json:"name"`
	Group string `json:"group,omitempty"`
	// Permit is the endpoint if the broker was asked for a permit for it only.
	Permit string `json:"permit,omitempty"`
	// Answered is false if the broker did not answer.
	Answered bool `json:"answered"`
	// AgeMs is the age of the knowledge when the answer arrived, at most, apart from that of the
	// lists of endpoints and of the reports of entries.
	AgeMs int64 `json:"age_ms"`
	// Placement is the decision; absent without an answer.
	Placement *Placement `json:"placement,omitempty"`
}

// Placement is what package placement decides about a request.
type Placement struct {
	// Verdict is placed, queued, redirected, full, no-endpoint, rate-limited or
	// no-allowed-region.
	Verdict  string `cbor:"1,keyasint,omitempty" json:"verdict"`
	Endpoint string `cbor:"2,keyasint,omitempty" json:"endpoint,omitempty"`
	Group    string `cbor:"3,keyasint,omitempty" json:"group,omitempty"` // after a redirect
	// Hold is why the request waits although an endpoint has room: queue-first or
	// suspect-begins.
	Hold string `cbor:"4,keyasint,omitempty" json:"hold,omitempty"`
	// Late is true if the request can no longer meet its latency objective.
	Late           bool    `cbor:"5,keyasint,omitempty" json:"late"`
	SlotIntervalMs float64 `cbor:"6,keyasint,omitempty" json:"slot_interval_ms,omitempty"`
	Ahead          int     `cbor:"7,keyasint,omitempty" json:"ahead"` // requests queued ahead
	MaxWaitMs      int64   `cbor:"8,keyasint,omitempty" json:"max_wait_ms"`
	// Queue lists all queued requests, in order of service.
	Queue []QueuedRank `cbor:"9,keyasint,omitempty" json:"queue,omitempty"`
	// Endpoints lists the endpoints in order of preference, those not usable last. Omitted is the
	// number of those that are left out at the end.
	Endpoints []Endpoint `cbor:"10,keyasint,omitempty" json:"endpoints"`
	Omitted   int        `cbor:"11,keyasint,omitempty" json:"omitted,omitempty"`
	// Entries is the number of entries that report to the broker, and OldestReportMs the age of
	// the oldest of their last messages.
	Entries        int   `cbor:"12,keyasint,omitempty" json:"entries,omitempty"`
	OldestReportMs int64 `cbor:"13,keyasint,omitempty" json:"oldest_report_ms,omitempty"`
	// ListAgeMs is how long ago the list of endpoints was last taken over from this process's
	// state of the fleet.
	ListAgeMs int64 `cbor:"14,keyasint,omitempty" json:"list_age_ms"`
	// JitterMs is the upper limit of a random addition to each predicted time, which may change the
	// order of endpoints. Brokers add none.
	JitterMs int64 `cbor:"15,keyasint,omitempty" json:"jitter_ms,omitempty"`
}

// QueuedRank is the number of queued requests of a class of service and rank.
type QueuedRank struct {
	Class   string `cbor:"1,keyasint" json:"class"` // resumed, on-time, late, or any at an entry
	Rank    int    `cbor:"2,keyasint" json:"rank"`
	Waiting int    `cbor:"3,keyasint" json:"waiting"`
}

// Endpoint tells how a request is judged at an endpoint.
type Endpoint struct {
	ID      string `cbor:"1,keyasint" json:"endpoint"`
	Zone    string `cbor:"2,keyasint,omitempty" json:"zone"`
	Region  string `cbor:"3,keyasint,omitempty" json:"region,omitempty"` // empty if unknown
	Version uint64 `cbor:"4,keyasint,omitempty" json:"version"`          // of the weights
	Running int    `cbor:"5,keyasint,omitempty" json:"running"`          // slots in use
	Slots   int    `cbor:"6,keyasint,omitempty" json:"slots"`
	// UsableSlots are those that this request may use.
	UsableSlots int `cbor:"7,keyasint,omitempty" json:"usable_slots"`
	// Pending is the number of requests without a first event, and PrefillTokens their prompts.
	Pending       int `cbor:"8,keyasint,omitempty" json:"pending"`
	PrefillTokens int `cbor:"9,keyasint,omitempty" json:"prefill_tokens"`
	// FirstEventMs is the predicted time to the first event, with LagMs, which is by how much
	// recent first events were late. The penalties are added to it to rank the endpoints.
	FirstEventMs     int64 `cbor:"10,keyasint,omitempty" json:"first_event_ms"`
	LagMs            int64 `cbor:"11,keyasint,omitempty" json:"lag_ms"`
	ZonePenaltyMs    int64 `cbor:"12,keyasint,omitempty" json:"zone_penalty_ms"`
	VersionPenaltyMs int64 `cbor:"13,keyasint,omitempty" json:"version_penalty_ms"`
	SuspectPenaltyMs int64 `cbor:"14,keyasint,omitempty" json:"suspect_penalty_ms"`
	// Pace is the estimate of how long work takes there, relative to the usual time. FirstEventMs
	// is the predicted time with it.
	Pace float64 `cbor:"17,keyasint,omitempty" json:"pace"`
	// NotUsable is why the endpoint cannot take the request now; empty if it can.
	NotUsable string `cbor:"15,keyasint,omitempty" json:"not_usable,omitempty"`
	// EndsInMs is when that ends at the latest; 0 if it is not known.
	EndsInMs int64 `cbor:"16,keyasint,omitempty" json:"ends_in_ms,omitempty"`
}

// Load tells what a stager would order its engine to load next.
type Load struct {
	Stager string    `json:"stager"`
	Engine string    `json:"engine"`
	At     time.Time `json:"at"`
	Model  string    `json:"model,omitempty"`
	// Step is what the stager would do next: load, wait, verify, await-load, unload,
	// await-unload, fetch or none.
	Step string `json:"step"`
	Why  string `json:"why"`
	// Loaded is the complete version that the engine last reported; 0 for none.
	Loaded uint64 `json:"loaded"`
	// Loading is true if the engine was loading, and Trusted if its weights were verified, in the
	// report of ReportAgeMs ago. ReportAgeMs is -1 if there was none yet.
	Loading     bool  `json:"loading"`
	Trusted     bool  `json:"trusted"`
	ReportAgeMs int64 `json:"report_age_ms"`
	// Next is the version to load, DueInMs until its load is due; 0 if it is due now.
	Next    uint64 `json:"next,omitempty"`
	DueInMs int64  `json:"due_in_ms,omitempty"`
	// Turn is the position of the engine among those of its zone for Next, from 0 to 1. Loads are
	// spread over the time that is left after the copy was complete by it.
	Turn     float64   `json:"turn"`
	Versions []Version `json:"versions"`
}

// Version is a named version of the weights, or one that the stager holds.
type Version struct {
	Version uint64 `json:"version"`
	Named   bool   `json:"named"`
	// NamedAgeMs is the time since the version was named.
	NamedAgeMs int64 `json:"named_age_ms,omitempty"`
	Fetching   bool  `json:"fetching"`
	Pieces     int   `json:"pieces"` // that are held
	Total      int   `json:"total"`  // 0 while the list of pieces is not known
	Complete   bool  `json:"complete"`
	// CompleteAgeMs is the time since the last piece arrived.
	CompleteAgeMs int64 `json:"complete_age_ms,omitempty"`
}
