// Command capacity measures how the cost of running daemons grows, for
// docs/CAPACITY.md. scripts/measure-capacity.sh starts the daemons and runs it;
// the fakes that load them run in this process.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

// Size to design for, from docs/design.md section 3.
const (
	designEndpoints = 800
	designEntries   = 370
	designRequests  = 6500.0
	designTokens    = 3_000_000.0
)

type options struct {
	Controls     []string      `help:"Session addresses of the control replicas." required:""`
	Entry        string        `help:"Caller address of the entry." required:""`
	Token        string        `help:"File of the process token." required:""`
	Caller       string        `help:"File of the caller token." required:""`
	ControlPids  []int         `help:"Processes of the control replicas." required:""`
	EntryPid     int           `help:"Process of the entry." required:""`
	AgentPid     int           `help:"Process of the agent." required:""`
	Phase        time.Duration `help:"Time of one measured load." default:"6s"`
	AgentCounts  []int         `help:"Numbers of fake agents." default:"0,100,200,400,800"`
	EntryCounts  []int         `help:"Numbers of fake entries, with the second-largest number of agents." default:"0,100,200,370"`
	RequestRates []int         `help:"Requests per second through the entry." default:"0,20,40,80"`
}

func main() {
	var o options
	kong.Parse(&o)
	if err := run(context.Background(), o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	token, err := auth.ReadToken(o.Token)
	if err != nil {
		return err
	}
	caller, err := auth.ReadToken(o.Caller)
	if err != nil {
		return err
	}
	if err := measureRequests(ctx, o, caller); err != nil {
		return err
	}
	if err := measureAgents(ctx, o, token); err != nil {
		return err
	}
	return measureEntries(ctx, o, token)
}

// slope fits y = a + b·x by least squares.
func slope(x, y []float64) (a, b float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// series collects measurements of one quantity against one load.
type series struct {
	name, unit string
	x, y       []float64
}

func (s *series) add(x, y float64) { s.x, s.y = append(s.x, x), append(s.y, y) }

// print writes the slope and what it gives at the design size.
func (s *series) print(load string, design float64) {
	a, b := slope(s.x, s.y)
	fmt.Printf("| %s | %.3g | %.3g per %s | %.3g at %.4g | %s |\n", s.name, a, b, load, a+b*design, design, s.unit)
}

func heading(title string) {
	fmt.Printf("\n## %s\n\n", title)
}

const fitHeader = "\n| quantity | at none | slope | extrapolated | unit |\n|---|---|---|---|---|"
