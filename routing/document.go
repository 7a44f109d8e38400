package routing

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error of Validate.
var ErrInvalid = errors.New("invalid routing document")

// Kind says what may be repeated.
type Kind uint8

// Kinds of request.
const (
	Safe   Kind = iota + 1 // may run more than once
	Unsafe                 // runs at most once for each client attempt
	Stream                 // a series of events; at most once unless it can be resumed
)

// String implements fmt.Stringer.
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

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time from a request's arrival to its final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// within which the answer is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is on time.
	GapObjective time.Duration
	Priority     int // 0 is the highest
	Targets      []Target
	// MaxAttempts bounds the endpoints that one client attempt may be sent to.
	MaxAttempts int
	Anonymous   bool // needs no key
	Affinity    bool // requests share parts of their prompts
	Resumable   bool // a broken stream may continue on another endpoint
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine describes how the model servers of a service work.
type Engine struct {
	Slots         int     // requests processed at once
	MemoryTokens  int     // prompt and answer tokens that fit in memory
	Stride        int     // steps of a pass that has writers
	StepMs        float64 // duration of a step
	PerRequestMs  float64 // added to a step for each request that writes
	PerThousandMs float64 // added to a step for each 1,000 tokens of context
	ReadPerSecond float64 // prompt tokens read per second
	PairsMs       float64 // added for each million pairs of prompt tokens
	ChunkTokens   int     // prompt tokens read in one step at most
	Layers        int     // layers of the model
	Chunks        int     // pieces of the weights
	ChunkBytes    int
	Models        []string
	UsualPrompt   int // mean prompt, tokens
	UsualAnswer   int // mean answer, tokens
}

// Service is a set of endpoints, or the origin of weights.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections of one endpoint, from all callers together. 0: not stated.
	MaxConnections int
	Engine         *Engine // nil for plain services
	// Origin is the address that weights come from; such a service has no
	// endpoints.
	Origin string
}

// Organisation is a customer with the keys that its requests carry.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is a whole routing configuration.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Source is the document as the operator sent it. It is stored and read back
	// unchanged.
	Source []byte
}

// Validate reports the first problem of the document.
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
	}
	places := map[string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, taken := places[place]; taken {
			return fmt.Errorf("%w: routes %q and %q have the same host and prefix", ErrInvalid, other, r.Name)
		}
		places[place] = r.Name
	}
	return d.validateKeys()
}

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
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fail("unknown service %q", t.Service)
		}
		if t.Weight < 0 {
			return fail("weight of service %q is negative", t.Service)
		}
		total += t.Weight
	}
	if total == 0 {
		return fail("weights add up to 0")
	}
	return nil
}

func (d *Document) validateKeys() error {
	holders := map[string]string{}
	for _, o := range d.Organisations {
		for _, key := range o.Keys {
			if other, taken := holders[key]; taken && other != o.Name {
				return fmt.Errorf("%w: organisations %q and %q share a key", ErrInvalid, other, o.Name)
			}
			holders[key] = o.Name
		}
	}
	return nil
}
