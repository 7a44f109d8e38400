// Command rhubarb-agent is the sidecar of one engine or plain service. It
// announces the endpoint, holds its confirmation lease, fetches weights, sends
// orders to the engine and acts as the gate in front of it.
package main

import (
	"context"
	"runtime/debug"

	"github.com/rhubarbhill/rhubarbhill/internal/agent"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
)

const program = "rhubarb-agent"

func main() {
	config := agent.DefaultSettings()
	daemon.Main(program, "Daemon beside an engine or plain service.", &config, func(ctx context.Context, _ daemon.Reloads) error {
		return run(ctx, config)
	})
}

func run(ctx context.Context, config agent.Settings) error {
	if config.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(config.MemoryLimit))
	}
	token, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	logger, err := logging.Setup(program, config.Instance, config.LogLevel, token)
	if err != nil {
		return err
	}
	daemon.SetLogger(logger)
	weights, err := agent.OpenTransfer(config, token, logger)
	if err != nil {
		return err
	}
	return agent.New(agent.Config{
		Settings: config, Token: token, Transfer: weights, Log: logger, Registry: metrics.NewRegistry(),
	}).Run(ctx)
}
