// Command rhubarb-control runs a control replica: accepted notes, claims,
// quarantine, member table and operator API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

type arguments struct {
	Settings string           `required:"" help:"Settings file (YAML)."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var args arguments
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	kong.Parse(&args, kong.Name("rhubarb-control"), kong.Vars{"version": version},
		kong.Description("A control replica of rhubarbhill."))
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	s := control.DefaultSettings()
	if err := settings.Load(args.Settings, &s); err != nil || args.Check {
		return err
	}
	processToken, err := auth.ReadToken(s.ProcessTokenFile)
	if err != nil {
		return err
	}
	operatorToken, err := auth.ReadToken(s.OperatorTokenFile)
	if err != nil {
		return err
	}
	logger, err := logging.Setup("rhubarb-control", s.Instance, s.LogLevel, processToken, operatorToken)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	daemon, err := control.New(s, control.Options{ProcessToken: &processToken, OperatorToken: &operatorToken}, logger)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
