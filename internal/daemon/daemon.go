// Package daemon is the command line that the daemons share: settings, a check
// of them, the version, and a stop by signal.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

type flags struct {
	Settings string           `help:"Settings file (YAML)." required:"" type:"path" placeholder:"FILE"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// ExitUsage is the exit code for a wrong command line.
const ExitUsage = 2

// Exit ends the process, with ExitUsage for the code that kong gives to a wrong
// command line (80 and above).
func Exit(code int) {
	if code >= 80 {
		code = ExitUsage
	}
	os.Exit(code)
}

// Main parses the command line, loads the settings into config, which holds the
// defaults, and calls run. SIGTERM and SIGINT end run's context; a second signal
// ends the process at once. Main exits the process with 1 on an error, and with
// ExitUsage for a wrong command line.
func Main(name, description string, config settings.Checker, run func(ctx context.Context) error) {
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(description), kong.Vars{"version": Version(name)}, kong.Exit(Exit))
	if err := start(f, config, run); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

func start(f flags, config settings.Checker, run func(ctx context.Context) error) error {
	if err := settings.Load(f.Settings, config); err != nil {
		return err
	}
	if f.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	return run(ctx)
}

// Version returns the name and version of the running program.
func Version(name string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return name + " unknown"
	}
	return name + " " + info.Main.Version
}
