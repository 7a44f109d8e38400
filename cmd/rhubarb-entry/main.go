// Command rhubarb-entry is the caller-facing daemon: address look-up,
// admission, routing, retries, streams and outcomes.
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

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/entry"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

const program = "rhubarb-entry"

type commandLine struct {
	Settings string           `help:"Settings file (YAML)." required:"" type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var flags commandLine
	kong.Parse(&flags, kong.Name(program), kong.Description("Caller-facing daemon."), kong.Vars{"version": version()})
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
	config := entry.DefaultSettings()
	if err := settings.Load(flags.Settings, &config); err != nil {
		return err
	}
	processToken, err := auth.ReadToken(config.ProcessTokenFile)
	if err != nil {
		return err
	}
	callerToken, err := auth.ReadToken(config.CallerTokenFile)
	if err != nil {
		return err
	}
	logger, err := logging.Setup(program, config.Instance, config.LogLevel, processToken, callerToken)
	if err != nil {
		return oops.In(program).Wrapf(err, "log_level")
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return entry.New(entry.Options{
		Settings: config, ProcessToken: processToken, CallerToken: callerToken, Log: logger,
	}).Run(ctx)
}
