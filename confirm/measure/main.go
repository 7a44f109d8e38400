// Command measure compares rules for instances that cannot confirm their
// revision. It drives packages confirm and gate under virtual time, with small
// models of voters and links. Voters are not replaced or removed: with three
// voters a read quorum is two, as with four.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rhubarbhill/rhubarbhill/confirm"
)

const (
	targetServed      = 3 * time.Second
	requestsPerSecond = 20
	confirmPeriod     = 500 * time.Millisecond
)

// deployment gives the one-way delays and the number of endpoints.
type deployment struct {
	name                   string
	zoneDelay, regionDelay time.Duration
	endpoints              int
}

var deployments = []deployment{
	{"Kerbline", 1500 * time.Microsecond, 3 * time.Millisecond, 16},
	{"Ochandiano", 500 * time.Microsecond, time.Millisecond, 18},
}

// rule decides whether an instance may serve.
type rule struct {
	name          string
	period        time.Duration
	lease         confirm.Config
	fromLeader    bool // only the leader confirms
	lastKnown     bool // serves once anything was confirmed
	refusedCounts bool // a refused connection agrees with whatever is heard
}

// The first rule is the chosen one.
var rules = []rule{
	{name: "read quorum (chosen)", period: confirmPeriod},
	{name: "read quorum, grace 1 min", period: confirmPeriod, lease: confirm.Config{Grace: time.Minute}},
	{name: "leader", period: confirmPeriod, fromLeader: true},
	{name: "last known", period: confirmPeriod, lastKnown: true},
	{name: "read quorum, refused counts", period: confirmPeriod, refusedCounts: true},
	{name: "read quorum, lease 1 s", period: confirmPeriod, lease: confirm.Config{Duration: time.Second}},
	{name: "read quorum, lease 3 s", period: confirmPeriod, lease: confirm.Config{Duration: 3 * time.Second}},
	{name: "read quorum, period 1 s", period: 2 * confirmPeriod},
	{name: "read quorum, period 250 ms", period: confirmPeriod / 2},
}

// result is what one fault costs under one rule.
type result struct {
	refusing []time.Duration // per endpoint
	total    time.Duration   // of refusing
	refused  int             // requests refused by the endpoint tried first
	lost     int             // requests refused by every endpoint within reach
	served   time.Duration   // longest, of a withdrawn model after acceptance
	accepted int             // withdrawals from the start of the fault
}

func main() {
	fmt.Printf("requests %d/s, spread over 4 entries, of which 2 are in the region with two voters\n", requestsPerSecond)
	var worst time.Duration
	only := strings.Join(os.Args[1:], " ") // part of a fault's name
	for _, d := range deployments {
		for _, f := range faults {
			if !strings.Contains(f.name, only) {
				continue
			}
			worst = max(worst, measure(d, f))
		}
	}
	fmt.Printf("withdrawn_served_max_s %.3f target %.0f\n", worst.Seconds(), targetServed.Seconds())
	if worst > targetServed {
		os.Exit(1)
	}
}

// measure prints the table of one fault and returns the longest time that the
// chosen rule served a withdrawn model.
func measure(d deployment, f fault) time.Duration {
	fmt.Printf("\n%s, %d endpoints: %s, %v\n", d.name, d.endpoints, f.name, f.lasts)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "rule\trefusing mean s\tmax s\trequests refused once\tlost\twithdrawn served max s\twithdrawals accepted")
	var served []time.Duration
	for _, r := range rules {
		m := run(d, f, r)
		served = append(served, m.served)
		_, _ = fmt.Fprintf(out, "%s\t%.2f\t%.2f\t%d\t%d\t%.3f\t%d\n", r.name, m.total.Seconds()/float64(d.endpoints), slices.Max(m.refusing).Seconds(), m.refused, m.lost, m.served.Seconds(), m.accepted)
	}
	_ = out.Flush()
	return served[0]
}
