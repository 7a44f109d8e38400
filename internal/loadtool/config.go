package loadtool

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
)

// Config is shared by quotes and orders.
type Config struct {
	// Entries are the entry addresses, IP and port, that the tool asks first.
	Entries []string
	Zone    string // sent with address questions; empty is none
	Token   auth.Token
	// Rate is the mean number of requests per second. Arrivals are random.
	Rate float64
	// Duration and Count bound the run; the first reached ends it.
	Duration time.Duration
	Count    int
	// MaxInFlight bounds the requests in progress. One that is due above it is
	// not sent and counts as skipped: the run then is no longer open-loop.
	MaxInFlight int
	// Deadline is the time limit that each request states.
	Deadline time.Duration
	// Drain is how long requests in progress may still take after the last one
	// was sent. They are then cancelled.
	Drain         time.Duration
	Organisations Mix
	Seed          uint64
	// Network opens the connections; nil uses the operating system's.
	Network network.Network
}

// Quotes configures a run of chat completions.
type Quotes struct {
	Config
	Models Mix
	// Tokens is the length of an answer; PromptBytes that of a prompt, of which
	// all but the request's own part is common to an organisation.
	Tokens      int
	PromptBytes int
	// StreamShare is the share of requests that stream, 0 to 1.
	StreamShare float64
	// Marker is put into every MarkerEvery-th prompt (0: none).
	Marker      string
	MarkerEvery int
	// Weights lists the weights digests that answers of a model may have. A
	// model without entry may have any, but only one per weights set.
	Weights map[string][]standin.WeightsDigest
}

// Orders configures a run of calls to a plain service.
type Orders struct {
	Config
	Service string
	Path    string
	// Resends is how often a caller sends an order again, with the same key,
	// after an answer that is lost or "unknown".
	Resends int
	// Duplicates is the share of orders that are sent twice at once, 0 to 1.
	Duplicates float64
	// Executions are the URLs at which the service's stand-ins answer their
	// executions.
	Executions []string
	// Lookups is the number of keys whose outcome is asked for at the end.
	Lookups int
	// Settle is the wait before executions are read, in which an order that was
	// reported as not run would show itself.
	Settle time.Duration
}

// minTokens leaves room for the tokens that state weights and request.
const minTokens = 2

func (q Quotes) check() error {
	var p settings.Problems
	q.Config.problems(&p)
	if len(q.Models) == 0 {
		p.Add("models", "needs at least one name")
	}
	if q.Tokens < minTokens {
		p.Add("tokens", "must be %d or more", minTokens)
	}
	if q.StreamShare < 0 || q.StreamShare > 1 {
		p.Add("stream-share", "must be between 0 and 1")
	}
	return oops.In("loadtool").Wrap(p.Err())
}

func (o Orders) check() error {
	var p settings.Problems
	o.Config.problems(&p)
	p.Required("service", o.Service)
	if len(o.Executions) == 0 {
		p.Add("executions", "needs at least one URL")
	}
	return oops.In("loadtool").Wrap(p.Err())
}

func (c Config) problems(p *settings.Problems) {
	p.Addresses("entry", c.Entries)
	if c.Rate <= 0 {
		p.Add("rate", "must be above 0")
	}
	p.Positive("duration", int64(c.Duration))
	p.Positive("count", int64(c.Count))
	p.Positive("max-in-flight", int64(c.MaxInFlight))
	p.Positive("deadline", int64(c.Deadline))
	if len(c.Organisations) == 0 {
		p.Add("organisations", "needs at least one name")
	}
}

// Share is one name of a Mix.
type Share struct {
	Name   string
	Weight float64
}

// Mix is a weighted choice of names.
type Mix []Share

// ParseMix parses "name=weight,name=weight"; a missing weight is 1.
func ParseMix(text string) (Mix, error) {
	var mix Mix
	for part := range strings.SplitSeq(text, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(part), "=")
		weight := 1.0
		if found {
			var err error
			if weight, err = strconv.ParseFloat(number, 64); err != nil || !(weight > 0) {
				return nil, oops.In("loadtool").Errorf("%q: the weight must be a number above 0", part)
			}
		}
		if name == "" {
			return nil, oops.In("loadtool").Errorf("%q has no name", part)
		}
		mix = append(mix, Share{name, weight})
	}
	return mix, nil
}

// pick chooses a name.
func (m Mix) pick(r *rand.Rand) string {
	total := 0.0
	for _, s := range m {
		total += s.Weight
	}
	at := r.Float64() * total
	for _, s := range m {
		if at < s.Weight {
			return s.Name
		}
		at -= s.Weight
	}
	return m[len(m)-1].Name
}
