// Command measure compares methods of bringing weights to instances under one
// small link model.
package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const ratioTarget = 1.3

type method struct {
	name string
	plan func([]swarm.Node, int) planner
}

type row struct {
	deployment deployment
	method     method
	// target is set for rows that the ratio target applies to.
	target bool
}

var (
	star      = method{"star from origin", planStar}
	chain     = method{"chain per region", planChain}
	trees     = method{"trees per region", planTrees}
	timeSwarm = method{"swarm, time, never", planSwarm(swarm.ObjectiveTime, swarm.RegionLinksNever)}
)

func rows() []row {
	var list []row
	for _, d := range []deployment{kerbline(12), ochandiano(14), kerbline(48), designScale(290)} {
		list = append(list, row{d, star, false}, row{d, chain, false}, row{d, trees, false}, row{d, timeSwarm, true})
	}
	slow := kerbline(48).withSlowInstance()
	list = append(list, row{slow, chain, false}, row{slow, trees, false}, row{slow, timeSwarm, false})
	o := ochandiano(14)
	return append(
		list,
		row{o, method{"swarm, origin-bytes, never", planSwarm(swarm.ObjectiveOriginBytes, swarm.RegionLinksNever)}, false},
		row{o, method{"swarm, origin-bytes, once", planSwarm(swarm.ObjectiveOriginBytes, swarm.RegionLinksOnce)}, false},
	)
}

type commandLine struct {
	Instances   int    `help:"Run only rows with this number of instances." default:"0"`
	NoSockets   bool   `help:"Leave out the runs over sockets."`
	Bookkeeping bool   `help:"Measure only what reports of held chunks cost."`
	Adapters    bool   `help:"Measure only a set of a model and 8 adapters over sockets."`
	NoModel     bool   `help:"Run only the rows over sockets."`
	Method      string `help:"Run only rows whose method starts with this text."`
}

func (c commandLine) selects(r row) bool {
	return (c.Instances == 0 || c.Instances == r.deployment.instances) && strings.HasPrefix(r.method.name, c.Method)
}

func main() {
	var args commandLine
	kong.Parse(&args)
	if args.Bookkeeping {
		if err := bookkeeping(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if args.Adapters {
		err := adapterRows(out)
		_ = out.Flush()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	_, _ = fmt.Fprintln(out, "N\tdeployment\tmethod\ttime s\ttime / lower bound\torigin copies\tregion link copies\trun s")
	worst := 0.0
	for _, r := range rows() {
		if args.NoModel || !args.selects(r) {
			continue
		}
		ratio := r.run(out)
		if r.target {
			worst = max(worst, ratio)
		}
	}
	_ = out.Flush()
	if !args.NoSockets {
		worst = max(worst, socketRows(args))
	}
	fmt.Printf("worst_time_ratio %.3f target %.1f\n", worst, ratioTarget)
}

// socketRows runs agents over rate-limited loopback sockets beside quotes.
func socketRows(args commandLine) float64 {
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "\nover sockets\nN\tdeployment\tobjective, region links\ttime s\ttime / lower bound\torigin copies\t"+
		"first token p95 ms, rollout / quiet\ttoken gap p95 ms, rollout / quiet\tMB over each region link")
	worst := 0.0
	for _, rule := range []swarm.RegionLinks{swarm.RegionLinksNever, swarm.RegionLinksOnce} {
		for _, d := range []deployment{kerbline(12), ochandiano(14)} {
			if args.Instances != 0 && args.Instances != d.instances {
				continue
			}
			ratio := socketRow(out, d, rule)
			if rule == swarm.RegionLinksNever {
				worst = max(worst, ratio)
			}
		}
	}
	_ = out.Flush()
	return worst
}

// socketRow prints the row and returns its time over the lower bound. The ratio
// target applies to objective time; once is for objective origin-bytes.
func socketRow(out io.Writer, d deployment, rule swarm.RegionLinks) float64 {
	objective := swarm.ObjectiveTime
	if rule == swarm.RegionLinksOnce {
		objective = swarm.ObjectiveOriginBytes
	}
	ratio, err := printSockets(out, d, objective, rule)
	if err != nil {
		_, _ = fmt.Fprintf(out, "%d\t%s\t%s, %s\tfailed: %v\n", d.instances, d.name, objective, rule, err)
		return math.Inf(1)
	}
	return ratio
}

// run prints the row and returns its time over the lower bound.
func (r row) run(out io.Writer) float64 {
	started := time.Now()
	s := newSimulation(r.deployment, r.method.plan)
	took := s.run()
	ratio := float64(took) / float64(r.deployment.lowerBound())
	above := ""
	if s.left > 0 {
		above = ">"
	}
	_, _ = fmt.Fprintf(out, "%d\t%s\t%s\t%s%.1f\t%s%.3f\t%.3f\t%.3f\t%.1f\n", r.deployment.instances, r.deployment.name,
		r.method.name, above, took.Seconds(), above, ratio, s.originCopies(), s.linkCopies(), time.Since(started).Seconds())
	return ratio
}
