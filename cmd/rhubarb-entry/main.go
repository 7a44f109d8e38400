// Command rhubarb-entry is the caller-facing daemon. It handles address lookup,
// admission, routing, retries, streaming and outcomes.
package main

import (
	"context"
	"maps"
	"slices"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/entry"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/memory"
)

const program = "rhubarb-entry"

func main() {
	config := entry.DefaultSettings()
	daemon.Main(program, "Caller-facing daemon.", &config, func(ctx context.Context, _ daemon.Reloads) error {
		return run(ctx, config)
	})
}

func run(ctx context.Context, config entry.Settings) error {
	memory.SetRuntimeLimit(int64(config.Memory))
	processToken, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	callerToken, err := auth.ReadToken(config.CallerTokenFile)
	if err != nil {
		return err
	}
	organisationTokens, err := config.ReadOrganisationTokens(callerToken)
	if err != nil {
		return err
	}
	secrets := append(slices.Collect(maps.Values(organisationTokens)), processToken, callerToken)
	logger, err := logging.Setup(program, config.Instance, config.LogLevel, secrets...)
	if err != nil {
		return err
	}
	daemon.SetLogger(logger)
	return entry.New(entry.Options{
		Settings: config, ProcessToken: processToken, CallerToken: callerToken,
		OrganisationTokens: organisationTokens, Log: logger,
	}).Run(ctx)
}
