package main

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/loadtool"
)

const (
	answerTokens = 32
	model        = "quote"
)

// measureRequests measures the entry and the agent against the request rate.
func measureRequests(ctx context.Context, o options, caller auth.Token) error {
	heading(fmt.Sprintf("Entry and agent, by requests per second, streams of %d tokens", answerTokens))
	fmt.Println("| requests/s | done | entry % of a core | entry MB | agent % of a core | agent MB |\n|---|---|---|---|---|---|")
	entryCPU := series{name: "entry, processor time", unit: "% of a core"}
	agentCPU := series{name: "agent, processor time", unit: "% of a core"}
	for _, rate := range o.RequestRates {
		entry, agent, done, err := measureRate(ctx, o, caller, rate)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d | %.2f | %.1f | %.2f | %.1f |\n", rate, done, entry.corePercent, entry.megabytes, agent.corePercent, agent.megabytes)
		entryCPU.add(float64(rate), entry.corePercent)
		agentCPU.add(float64(rate), agent.corePercent)
	}
	fmt.Println(fitHeader)
	entryCPU.print("request/s", designRequests/designEntries)
	agentCPU.print("request/s", designRequests/designEndpoints)
	fmt.Printf("\nTokens a second at the design size: %.0f per entry, %.0f per endpoint; one request here has %d.\n",
		designTokens/designEntries, designTokens/designEndpoints, answerTokens)
	return nil
}

func measureRate(ctx context.Context, o options, caller auth.Token, rate int) (entry, agent cost, done int, err error) {
	entryMeter, err := startMeter(o.EntryPid)
	if err != nil {
		return entry, agent, 0, err
	}
	agentMeter, err := startMeter(o.AgentPid)
	if err != nil {
		return entry, agent, 0, err
	}
	if rate == 0 {
		time.Sleep(o.Phase)
	} else {
		summary, err := loadtool.RunQuotes(ctx, loadtool.Quotes{
			Config: loadtool.Config{
				Entries: []string{o.Entry}, Token: caller, Rate: float64(rate), Duration: o.Phase, Count: 1_000_000,
				MaxInFlight: 1000, Deadline: 20 * time.Second, Drain: 20 * time.Second,
				Organisations: loadtool.Mix{{Name: "small", Weight: 1}}, Seed: 1,
			},
			Models: loadtool.Mix{{Name: model, Weight: 1}}, Tokens: answerTokens, PromptBytes: 512, StreamShare: 1,
		})
		if err != nil {
			return entry, agent, 0, err
		}
		done = summary.Outcomes["done"]
	}
	if entry, err = entryMeter.stop(); err != nil {
		return entry, agent, done, err
	}
	agent, err = agentMeter.stop()
	return entry, agent, done, err
}
