// Command rhubarb-relay is the entry for endpoints without an agent. It forwards
// requests from callers directly to an endpoint.
package main

import (
	"context"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/memory"
	"github.com/rhubarbhill/rhubarbhill/internal/relay"
	"github.com/rhubarbhill/rhubarbhill/platform"
)

const program = "rhubarb-relay"

func main() {
	config := relay.DefaultSettings()
	daemon.Main(program, "Entry to endpoints without an agent.", &config, func(ctx context.Context, reloads daemon.Reloads) error {
		return run(ctx, config, reloads)
	})
}

func run(ctx context.Context, config relay.Settings, reloads daemon.Reloads) error {
	memory.SetRuntimeLimit(int64(config.Memory))
	token, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	logger, lines, err := logging.SetupAsync(program, config.Instance, config.LogLevel, token)
	if err != nil {
		return err
	}
	daemon.SetLogger(logger)
	defer lines.Close()
	return relay.New(config, relay.Options{
		Token: token, Protocol: platform.Headers{}, Decode: platform.DecodeRouting, ReadyHandler: platform.ReadyHandler,
	}, logger).Run(ctx, reloads)
}
