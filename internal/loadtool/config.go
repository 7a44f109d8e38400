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

// Config holds the settings common to quotes and orders.
type Config struct {
	// Entries are the IP:port addresses of the entries used for the first address
	// lookup.
	Entries []string
	Zone    string // sent with address lookups; empty omits it
	Token   auth.Token
	// Rate is the mean number of requests per second of a Poisson process.
	Rate float64
	// Duration and Count bound the run; the first reached ends it.
	Duration time.Duration
	Count    int
	// MaxInFlight limits concurrent requests. A request that is due while the
	// limit is reached is not sent and counts as skipped; the run is then no
	// longer open-loop.
	MaxInFlight int
	// Deadline is the time limit sent with each request.
	Deadline time.Duration
	// Drain is how long requests in flight may continue after the last one was
	// sent before they are cancelled.
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
	// Tokens is the length of an answer. PromptBytes is the approximate length of
	// a prompt; requests of an organisation share all of it except the suffix with
	// the request ID and the marker.
	Tokens      int
	PromptBytes int
	// StreamShare is the share of requests that stream, 0 to 1.
	StreamShare float64
	// Marker is appended to every MarkerEvery-th prompt; 0 disables it.
	Marker      string
	MarkerEvery int
	// Weights lists the weights digests allowed for each model. A model that is
	// not listed may have any weights, but only one digest per weights set.
	Weights map[string][]standin.WeightsDigest
}

// Orders configures a run of calls to a plain service.
type Orders struct {
	Config
	Service string
	Path    string
	// Resends is the maximum number of times a caller resends an order with the
	// same key after a lost response or an "unknown" outcome.
	Resends int
	// Duplicates is the share of orders sent twice concurrently, 0 to 1.
	Duplicates float64
	// Executions are the URLs from which the service's stand-ins report their
	// executions.
	Executions []string
	// Lookups is the number of keys whose outcome is queried after the run.
	Lookups int
	// Settle is the delay before executions are read. It gives an order that was
	// reported as not run time to execute late, so that it is detected.
	Settle time.Duration
}

// minTokens is the length needed for the tokens that carry the weights digest
// and the request ID.
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

// WeightedName is a name and its relative weight in a Mix.
type WeightedName struct {
	Name   string
	Weight float64
}

// Mix is a weighted distribution over names.
type Mix []WeightedName

// ParseMix parses "name=weight,name=weight". The weight defaults to 1.
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
		mix = append(mix, WeightedName{name, weight})
	}
	return mix, nil
}

// pick returns a random name, chosen in proportion to the weights.
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
