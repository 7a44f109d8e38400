// Command rhubarb-load sends load to entries and validates every response. It
// exits with 0 when all checks pass, 1 when one fails, and 2 when the input is
// invalid or the run cannot be completed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/loadtool"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
)

const (
	exitCheckFailed = 1
	exitBadInput    = 2
)

type commands struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Quotes   quotesCommand    `cmd:"" help:"Send chat completions."`
	Services servicesCommand  `cmd:"" help:"Send orders with idempotency keys to a plain service."`
}

// commonFlags are the flags shared by the quotes and services commands.
type commonFlags struct {
	Entry         []string          `required:"" help:"Entry addresses (IP:port) to ask first." placeholder:"IP:PORT"`
	Zone          string            `help:"Availability zone of the callers."`
	TokenFile     string            `required:"" help:"File with the caller token." type:"path"`
	Rate          float64           `default:"10" help:"Requests per second."`
	Duration      settings.Duration `default:"30s" help:"Time in which requests are sent."`
	Count         int               `default:"1000000" help:"Most requests."`
	MaxInFlight   int               `default:"2000" help:"Most requests in progress."`
	Deadline      settings.Duration `default:"30s" help:"Time limit that each request states."`
	Drain         settings.Duration `default:"35s" help:"Time for requests in progress at the end."`
	Organisations string            `default:"small=1,large=9" help:"Mix of organisations, as name=weight."`
	Seed          uint64            `default:"1" help:"Seed of arrivals and mix."`
	MinDone       float64           `default:"0" help:"Least share of requests that must be done, 0 to 1."`
	Out           string            `help:"File for the summary; standard output otherwise." type:"path"`
}

func (f *commonFlags) config() (loadtool.Config, error) {
	token, err := auth.ReadToken(f.TokenFile)
	if err != nil {
		return loadtool.Config{}, err
	}
	organisations, err := loadtool.ParseMix(f.Organisations)
	return loadtool.Config{
		Entries: f.Entry, Zone: f.Zone, Token: token, Rate: f.Rate, Duration: f.Duration.Std(), Count: f.Count,
		MaxInFlight: f.MaxInFlight, Deadline: f.Deadline.Std(), Drain: f.Drain.Std(),
		Organisations: organisations, Seed: f.Seed,
	}, err
}

// report writes the summary as JSON and returns the exit code.
func (f *commonFlags) report(s loadtool.Summary) (int, error) {
	out := os.Stdout
	if f.Out != "" {
		file, err := os.Create(f.Out)
		if err != nil {
			return exitBadInput, err
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s); err != nil {
		return exitBadInput, err
	}
	if !s.OK(f.MinDone) {
		return exitCheckFailed, nil
	}
	return 0, nil
}

type quotesCommand struct {
	commonFlags
	Models      string        `required:"" help:"Mix of models and adapters, as name=weight."`
	Tokens      int           `default:"32" help:"Tokens of an answer."`
	PromptSize  settings.Size `default:"1KiB" help:"Length of a prompt."`
	StreamShare float64       `default:"1" help:"Share of requests that stream, 0 to 1."`
	Marker      string        `help:"Text put into every n-th prompt, such as a stand-in's crash marker."`
	MarkerEvery int           `help:"The n of --marker."`
	Weights     []string      `help:"Allowed weights, as model=manifest file or adapter=manifest file+base's manifest file." sep:"none"`
}

func (c *quotesCommand) Run(ctx context.Context) (int, error) {
	cfg, err := c.config()
	if err != nil {
		return exitBadInput, err
	}
	models, err := loadtool.ParseMix(c.Models)
	if err != nil {
		return exitBadInput, err
	}
	weights, err := readWeights(c.Weights)
	if err != nil {
		return exitBadInput, err
	}
	summary, err := loadtool.RunQuotes(ctx, loadtool.Quotes{
		Config: cfg, Models: models, Tokens: c.Tokens, PromptBytes: int(c.PromptSize), StreamShare: c.StreamShare,
		Marker: c.Marker, MarkerEvery: c.MarkerEvery, Weights: weights,
	})
	if err != nil {
		return exitBadInput, err
	}
	return c.report(summary)
}

// readWeights parses specs of the form "model=file" or "adapter=file+base" and
// returns the allowed weights digests by model or adapter.
func readWeights(specs []string) (map[string][]standin.WeightsDigest, error) {
	weights := map[string][]standin.WeightsDigest{}
	for _, spec := range specs {
		name, files, ok := strings.Cut(spec, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not of the form model=manifest file", spec)
		}
		own, base, adapter := strings.Cut(files, "+")
		digest, err := standin.DigestOfManifestFile(own)
		if err != nil {
			return nil, err
		}
		if adapter {
			baseDigest, err := standin.DigestOfManifestFile(base)
			if err != nil {
				return nil, err
			}
			digest = baseDigest.WithAdapter(digest)
		}
		weights[name] = append(weights[name], digest)
	}
	return weights, nil
}

type servicesCommand struct {
	commonFlags
	Service    string            `required:"" help:"Name of the service."`
	Path       string            `default:"/orders" help:"Path below the service."`
	Resends    int               `default:"3" help:"Resends of an order whose outcome is unknown."`
	Duplicates float64           `default:"0.1" help:"Share of orders sent twice at once, 0 to 1."`
	Executions []string          `required:"" help:"URLs of the service stand-ins' executions." placeholder:"URL"`
	Lookups    int               `default:"100" help:"Keys whose outcome is asked for at the end."`
	Settle     settings.Duration `default:"2s" help:"Wait before executions are read."`
}

func (c *servicesCommand) Run(ctx context.Context) (int, error) {
	cfg, err := c.config()
	if err != nil {
		return exitBadInput, err
	}
	summary, err := loadtool.RunOrders(ctx, loadtool.Orders{
		Config: cfg, Service: c.Service, Path: c.Path, Resends: c.Resends, Duplicates: c.Duplicates,
		Executions: c.Executions, Lookups: c.Lookups, Settle: c.Settle.Std(),
	})
	if err != nil {
		return exitBadInput, err
	}
	return c.report(summary)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	var line commands
	parsed := kong.Parse(&line, kong.Description("Load for rhubarbhill, with a check of every answer."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Vars{"version": daemon.Version("rhubarb-load")}, kong.Exit(daemon.Exit))
	run := line.Quotes.Run
	if strings.HasPrefix(parsed.Command(), "services") {
		run = line.Services.Run
	}
	code, err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rhubarb-load:", err)
	}
	os.Exit(code)
}
