// Package daemon implements the command line that the daemons share: it loads and
// checks the settings, prints the version and handles signals.
package daemon

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"runtime/debug"
	"time"

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

// Exit ends the process with code. The codes of kong for a wrong command line (80
// and above) become ExitUsage.
func Exit(code int) {
	if code >= 80 {
		code = ExitUsage
	}
	os.Exit(code)
}

// Reloads delivers the settings each time they are reloaded.
type Reloads <-chan settings.Checker

// Main parses the command line, loads the settings into config, which holds the
// defaults, and calls run. SIGTERM and SIGINT cancel run's context; a second SIGINT
// ends the process at once. SIGHUP, or a change of the settings file, delivers the new
// settings to run until it returns; an invalid file is logged and otherwise ignored.
// Main exits the process with status 1 on an error, and with ExitUsage for a wrong
// command line.
func Main(name, description string, config settings.Checker, run func(ctx context.Context, reloads Reloads) error) {
	received := notifySignals()
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(description), kong.Vars{"version": Version(name)}, kong.Exit(Exit))
	if err := start(f, config, received, run); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

func start(f flags, config settings.Checker, received signals, run func(ctx context.Context, reloads Reloads) error) error {
	defaults := reflect.ValueOf(config).Elem().Interface()
	if err := settings.Load(f.Settings, config); err != nil {
		return err
	}
	if f.Check {
		fmt.Println("settings are valid")
		return nil
	}
	running, stopRunning := context.WithCancel(context.Background())
	defer stopRunning()
	ctx, stop := context.WithCancel(running)
	go received.handleStops(running, stop)
	return run(ctx, watchSettings(running, f.Settings, defaults, received.hangups))
}

// pollInterval is the time between checks of the settings file, which may change
// without a signal.
const pollInterval = 2 * time.Second

// watchSettings reloads the settings after each hangup and when their file changes,
// until ctx ends.
func watchSettings(ctx context.Context, path string, defaults any, hangups <-chan os.Signal) Reloads {
	reloads := make(chan settings.Checker, 1)
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		last := modTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				logger().Info("reload_requested")
			case <-ticker.C:
				if modTime(path).Equal(last) {
					continue
				}
			}
			last = modTime(path)
			next := reflect.New(reflect.TypeOf(defaults))
			next.Elem().Set(reflect.ValueOf(defaults))
			config := next.Interface().(settings.Checker)
			if err := settings.Load(path, config); err != nil {
				logger().WithError(err).Error("settings_not_reloaded")
				continue
			}
			select {
			case <-reloads: // drop an older reload that was not received
			default:
			}
			reloads <- config
		}
	}()
	return reloads
}

// modTime returns the modification time of a file, or zero if it is not available,
// for example while the file is being replaced.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// Version returns the name and version of the running program.
func Version(name string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return name + " unknown"
	}
	return name + " " + info.Main.Version
}
