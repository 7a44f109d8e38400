// Command rhubarb-control runs a control replica. It stores accepted notes,
// claims, the quarantine and the member table, and serves the operator API.
package main

import (
	"context"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/memory"
	"github.com/rhubarbhill/rhubarbhill/platform"
)

const program = "rhubarb-control"

func main() {
	config := control.DefaultSettings()
	daemon.Main(program, "Control replica.", &config, func(ctx context.Context, reloads daemon.Reloads) error {
		return run(ctx, config, reloads)
	})
}

func run(ctx context.Context, config control.Settings, reloads daemon.Reloads) error {
	memory.SetRuntimeLimit(int64(config.Memory))
	processToken, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	operatorToken, err := auth.ReadToken(config.OperatorTokenFile)
	if err != nil {
		return err
	}
	logger, lines, err := logging.SetupAsync(program, config.Instance, config.LogLevel, processToken, operatorToken)
	if err != nil {
		return err
	}
	daemon.SetLogger(logger)
	defer lines.Close()
	d, err := control.NewWhenWritable(ctx, config, control.Options{
		ProcessToken: &processToken, OperatorToken: &operatorToken,
		Registry:  func(d *control.Daemon) http.Handler { return platform.RegistryHandler(d) },
		Directory: func(d *control.Daemon) http.Handler { return platform.DirectoryHandler(d) },
		Decode:    platform.DecodeRouting,
	}, logger)
	if err != nil {
		return err
	}
	go applyReloads(ctx, reloads, d)
	return d.Run(ctx)
}

// applyReloads puts changed settings in force until ctx ends.
func applyReloads(ctx context.Context, reloads daemon.Reloads, d *control.Daemon) {
	for {
		select {
		case <-ctx.Done():
			return
		case config := <-reloads:
			d.Reload(config.(*control.Settings))
		}
	}
}
