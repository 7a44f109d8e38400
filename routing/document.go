package routing

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error of Validate and Decompress.
var ErrInvalid = errors.New("invalid routing document")

// Kind determines whether the requests of a route may be retried.
type Kind uint8

// Request kinds.
const (
	Safe   Kind = iota + 1 // idempotent; may run more than once
	Unsafe                 // not idempotent; runs at most once per client attempt
	Stream                 // an event stream; runs at most once unless it is resumable
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Target is a service and its weight in the traffic split of a route.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout limits the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// Objective is the latency objective for the answer, or for the first event of a
	// stream.
	Objective time.Duration
	// GapObjective is the latency objective between two events of a stream.
	GapObjective time.Duration
	Priority     int // 0 is the highest
	Targets      []Target
	// MaxAttempts limits the number of endpoints that one client attempt is sent to.
	MaxAttempts int
	Anonymous   bool // accept requests without an API key
	Affinity    bool // requests share prompt prefixes
	Resumable   bool // an interrupted stream may resume on another endpoint
	// Regions are the only regions in which requests may be served; empty for all.
	Regions []string
}

// Repeatable reports whether a request may be retried if it may already have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine is the performance model of the inference engines of a service.
type Engine struct {
	Slots               int     // maximum number of concurrent requests
	KVCapacityTokens    int     // capacity of the KV cache in tokens
	Stride              int     // decode steps per pass
	StepMs              float64 // base duration of a decode step
	PerRequestMs        float64 // added to a step for each request in decode
	PerThousandTokensMs float64 // added to a step for each 1,000 tokens of context
	PrefillPerSecond    float64 // prefill throughput in tokens per second
	AttentionMs         float64 // attention time per million pairs of prompt tokens
	PrefillChunkTokens  int     // largest number of prompt tokens prefilled per step
	Layers              int     // number of layers of the model
	WeightChunks        int     // number of chunks of the weights
	WeightChunkBytes    int     // size of a chunk of the weights
	Models              []string
	MeanPromptTokens    int // mean prompt length in tokens
	MeanAnswerTokens    int // mean answer length in tokens
}

// Service is a set of interchangeable endpoints, or the origin server of weights.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one endpoint, summed over all callers. 0
	// means not stated.
	MaxConnections int
	Engine         *Engine // nil for plain services
	// Origin is the address from which weights are downloaded. A service with an origin
	// has no endpoints.
	Origin string
	// ColdStart is how long an endpoint is cold after a start, and ColdPerSecond how many
	// requests per second it tolerates meanwhile from all entries together. Endpoints of a
	// service are never cold if ColdPerSecond is 0.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // 0 is the highest; takes precedence over the priority of a route
	// Prioritized is false if the document states no priority for the organisation.
	Prioritized bool
	// Regions are the only regions in which requests of the organisation may be served; empty
	// for all. The regions of the route are binding as well.
	Regions []string
}

// Limits are the limits on client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a complete routing configuration.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Source is the document as the operator submitted it. It is stored and returned
	// unchanged.
	Source []byte
}

const (
	// maxDuration is far above any duration that a deployment states. Sums of such
	// durations do not overflow.
	maxDuration = math.MaxInt32 * time.Millisecond
	// maxWeight keeps the sum of the weights of a route from overflowing.
	maxWeight = math.MaxInt32
)

// Validate returns an error that describes the first problem of the document.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return fmt.Errorf("%w: version must be above 0", ErrInvalid)
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return fmt.Errorf("%w: a service has no name", ErrInvalid)
		}
		services[s.Name] = true
		if err := s.Engine.validate(); err != nil {
			return fmt.Errorf("%w: service %q: %w", ErrInvalid, s.Name, err)
		}
		if !validDuration(s.ColdStart) || !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxEngineNumber) {
			return fmt.Errorf("%w: service %q: time or rate of cold endpoints is out of range", ErrInvalid, s.Name)
		}
		if s.MaxConnections < 0 {
			return fmt.Errorf("%w: service %q: maximum of connections is negative", ErrInvalid, s.Name)
		}
	}
	routeNames := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		key := strings.ToLower(r.Host) + r.Prefix
		if other, taken := routeNames[key]; taken {
			return fmt.Errorf("%w: routes %q and %q have the same host and prefix", ErrInvalid, other, r.Name)
		}
		routeNames[key] = r.Name
	}
	if err := d.Limits.validate(); err != nil {
		return err
	}
	if err := d.validateRegions(); err != nil {
		return err
	}
	return d.validateKeys()
}

func (l Limits) validate() error {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || !validDuration(l.HeaderTimeout) || !validDuration(l.IdleTimeout) {
		return fmt.Errorf("%w: a limit is out of range", ErrInvalid)
	}
	return nil
}

// validDuration reports whether a duration, which is 0 if it is not stated, is in range.
func validDuration(d time.Duration) bool { return d >= 0 && d <= maxDuration }

func (r *Route) validate(services map[string]bool) error {
	fail := func(format string, args ...any) error {
		return fmt.Errorf("%w: route %q: %s", ErrInvalid, r.Name, fmt.Sprintf(format, args...))
	}
	if r.Host == "" {
		return fail("host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fail("prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return fail("timeout must be above 0")
	}
	if !validDuration(r.Timeout) || !validDuration(r.Objective) || !validDuration(r.GapObjective) {
		return fail("a duration is out of range")
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fail("unknown service %q", t.Service)
		}
		if t.Weight < 0 {
			return fail("weight of service %q is negative", t.Service)
		}
		if t.Weight > maxWeight {
			return fail("weight of service %q is above %d", t.Service, maxWeight)
		}
		total += t.Weight
	}
	if total == 0 {
		return fail("weights add up to 0")
	}
	return nil
}

func (d *Document) validateKeys() error {
	owners := map[string]string{}
	for _, o := range d.Organisations {
		for _, key := range o.Keys {
			if other, taken := owners[key]; taken && other != o.Name {
				return fmt.Errorf("%w: organisations %q and %q share a key", ErrInvalid, other, o.Name)
			}
			owners[key] = o.Name
		}
	}
	return nil
}
