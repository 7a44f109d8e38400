// Command rhubarb-agent runs beside one engine or plain service: it announces
// the endpoint, holds its confirmation lease, fetches weights, orders the
// engine and is the gate in front of it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/agent"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

const program = "rhubarb-agent"

type commandLine struct {
	Settings string           `help:"Settings file (YAML)." required:"" type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var flags commandLine
	kong.Parse(&flags, kong.Name(program), kong.Description("Daemon beside an engine or plain service."), kong.Vars{"version": version()})
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " unknown"
	}
	return program + " " + info.Main.Version
}

func run(flags commandLine) error {
	config := agent.DefaultSettings()
	if err := settings.Load(flags.Settings, &config); err != nil {
		return err
	}
	token, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	logger, err := logging.Setup(program, config.Instance, config.LogLevel, token)
	if err != nil {
		return oops.In(program).Wrapf(err, "log_level")
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return nil
	}
	weights, err := agent.OpenWeights(config, token, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	return agent.New(agent.Config{
		Settings: config, Token: token, Weights: weights, Log: logger, Registry: metrics.NewRegistry(),
	}).Run(ctx)
}
