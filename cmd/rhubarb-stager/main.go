// Command rhubarb-stager fetches the named weights version and loads it into the
// engine on its instance.
package main

import (
	"context"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/memory"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/stager"
	"github.com/rhubarbhill/rhubarbhill/platform"
)

const program = "rhubarb-stager"

func main() {
	config := stager.DefaultSettings()
	daemon.Main(program, "Brings weights to the engine on its instance.", &config, func(ctx context.Context, reloads daemon.Reloads) error {
		return run(ctx, config, reloads)
	})
}

func run(ctx context.Context, config stager.Settings, reloads daemon.Reloads) error {
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
	return stager.New(config, stager.Options{
		Token: token, Decode: platform.DecodeRouting,
		Engine: platform.Client{
			HTTP:   &http.Client{Transport: network.HTTPTransport(nil)},
			Origin: &http.Client{Transport: platform.KeepPauses(network.SingleConnTransport(nil))},
		},
	}, logger).Run(ctx, reloads)
}
