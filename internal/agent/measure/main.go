// Command measure reports the control cost of one idle agent: payload to and
// from four voters, processor time and memory, with member tables of several
// sizes. The agent runs as a process of its own, so that only its cost counts.
//
// With the arguments "fetch" and the path of rhubarb-agent it reports the memory
// of two agents that fetch 1 GiB from an origin and from each other.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/rhubarbhill/rhubarbhill/internal/agent"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

const (
	warmUp   = 5 * time.Second
	duration = 15 * time.Second
)

// loads are member tables and changes of them per second and replica.
var loads = []load{{19, 0}, {800, 0}, {800, 10}, {800, 100}}

type load struct{ members, updates int }

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	switch {
	case len(args) == 1:
		return runAgent(args[0])
	case len(args) == 2 && args[0] == "fetch":
		return measureFetches(args[1])
	}
	fmt.Println("members  updates/s  sent B/s  received B/s  % core  RSS MiB")
	for _, l := range loads {
		c, err := measure(l)
		if err != nil {
			return err
		}
		fmt.Printf("%7d  %9d  %8.0f  %12.0f  %6.2f  %7.1f\n", l.members, l.updates, c.sent, c.received, c.processor, c.memory)
	}
	return nil
}

// runAgent is the measured process.
func runAgent(path string) error {
	s := agent.DefaultSettings()
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	token, err := auth.ReadToken(s.ProcessTokenFile)
	if err != nil {
		return err
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	weights, err := agent.OpenTransfer(s, token, logger)
	if err != nil {
		return err
	}
	return agent.New(agent.Config{
		Settings: s, Token: token, Transfer: weights, Log: logger, Registry: metrics.NewRegistry(),
	}).Run(context.Background())
}
