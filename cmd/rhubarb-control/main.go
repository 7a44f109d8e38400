// Command rhubarb-control runs a control replica: accepted notes, claims,
// quarantine, member table and operator API.
package main

import (
	"context"
	"net/http"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/platform"
)

const program = "rhubarb-control"

func main() {
	config := control.DefaultSettings()
	daemon.Main(program, "Control replica.", &config, func(ctx context.Context) error {
		return run(ctx, config)
	})
}

func run(ctx context.Context, config control.Settings) error {
	processToken, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	operatorToken, err := auth.ReadToken(config.OperatorTokenFile)
	if err != nil {
		return err
	}
	logger, lines, err := logging.SetupBounded(program, config.Instance, config.LogLevel, processToken, operatorToken)
	if err != nil {
		return err
	}
	defer lines.Close()
	d, err := control.New(config, control.Options{
		ProcessToken: &processToken, OperatorToken: &operatorToken,
		Registry:  func(d *control.Daemon) http.Handler { return platform.RegistryHandler(d) },
		Directory: func(d *control.Daemon) http.Handler { return platform.DirectoryHandler(d) },
	}, logger)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
