// Command rhubarb-standin runs test doubles (stand-ins) for engines, plain
// services, the weight store and the origin, and generates weights for them.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/logging"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
)

const (
	exitCrash         = 3 // an injected fault ended the process
	readHeaderTimeout = 5 * time.Second
)

type commands struct {
	Engine  engineCommand  `cmd:"" help:"Run a model engine."`
	Service serviceCommand `cmd:"" help:"Run a plain service that counts its executions."`
	Origin  originCommand  `cmd:"" help:"Run a weights origin on a rate-limited link."`
	Store   storeCommand   `cmd:"" help:"Run a weight store that limits requests."`
	Weights weightsCommand `cmd:"" help:"Write the weights of a version and print the digest of its manifest."`
}

// listenFlags are the flags shared by the commands that run a server.
type listenFlags struct {
	Listen string `required:"" help:"IP and port to listen on."`
	Faults string `help:"Fault switches at the start, as JSON; see POST /standin/faults."`
}

type engineCommand struct {
	listenFlags
	Capacity          int               `default:"8" help:"Requests in the batch."`
	FirstToken        settings.Duration `default:"120ms" help:"Time to first token when idle."`
	PerToken          settings.Duration `default:"20ms" help:"Time between tokens when idle."`
	LoadSlope         float64           `default:"1" help:"Growth of both times when the batch is full; 1 doubles them."`
	PrefillPerKib     settings.Duration `default:"10ms" help:"Time per KiB of uncached prompt."`
	Tokens            int               `default:"32" help:"Tokens of an answer when the request gives no limit."`
	CheckFence        bool              `help:"Refuse orders with an old fencing token."`
	LoadDelay         settings.Duration `default:"0s" help:"Time to load a set beyond reading its files."`
	ReportLag         settings.Duration `default:"500ms" help:"Age of load reports."`
	CacheBlocks       int               `default:"1024" help:"Blocks of 256 bytes in the prefix cache."`
	CacheEventLag     settings.Duration `default:"500ms" help:"Delay of cache events."`
	CacheEventDropNth uint64            `name:"cache-event-drop" help:"Lose every n-th cache event."`
}

func (c *engineCommand) Run(ctx context.Context) error {
	faults, err := standin.ParseFaults[standin.EngineFaults](c.Faults)
	if err != nil {
		return err
	}
	engine := standin.NewEngine(standin.EngineConfig{
		Capacity:          c.Capacity,
		FirstToken:        c.FirstToken.Std(),
		PerToken:          c.PerToken.Std(),
		LoadSlope:         c.LoadSlope,
		PrefillPerKiB:     c.PrefillPerKib.Std(),
		DefaultTokens:     c.Tokens,
		CheckFence:        c.CheckFence,
		LoadDelay:         c.LoadDelay.Std(),
		ReportLag:         c.ReportLag.Std(),
		CacheBlocks:       c.CacheBlocks,
		CacheEventLag:     c.CacheEventLag.Std(),
		CacheEventDropNth: c.CacheEventDropNth,
		Exit:              crash,
		Faults:            faults,
	})
	return serve(ctx, "engine", c.Listen, engine.Handler())
}

type serviceCommand struct {
	listenFlags
	Name    string `default:"service" help:"Name in answers."`
	Journal string `help:"File that keeps the executions over a restart."`
}

func (c *serviceCommand) Run(ctx context.Context) error {
	faults, err := standin.ParseFaults[standin.ServiceFaults](c.Faults)
	if err != nil {
		return err
	}
	service, err := standin.NewService(standin.ServiceConfig{
		Name: c.Name, Journal: c.Journal, Exit: crash, Faults: faults,
	})
	if err != nil {
		return err
	}
	return errors.Join(serve(ctx, "service", c.Listen, service.Handler()), service.Close())
}

type objectFlags struct {
	listenFlags
	Dir  string        `required:"" help:"Folder written by the weights command."`
	Link settings.Rate `default:"0B/s" help:"Limit of all bodies together, such as 80Mbit/s; 0 is none."`
}

func (c *objectFlags) serve(ctx context.Context, name string, requests float64, burst int) error {
	faults, err := standin.ParseFaults[standin.ObjectFaults](c.Faults)
	if err != nil {
		return err
	}
	objects := standin.NewObjects(standin.ObjectsConfig{
		Dir: c.Dir, LinkBytesPerSecond: int64(c.Link),
		RequestsPerSecond: requests, Burst: burst, Faults: faults,
	})
	return serve(ctx, name, c.Listen, objects.Handler())
}

type originCommand struct{ objectFlags }

func (c *originCommand) Run(ctx context.Context) error { return c.serve(ctx, "origin", 0, 0) }

type storeCommand struct {
	objectFlags
	Requests float64 `default:"50" help:"Requests per second above which it answers 429; 0 is no limit."`
	Burst    int     `default:"50" help:"Requests above the rate that are served at once."`
}

func (c *storeCommand) Run(ctx context.Context) error {
	return c.serve(ctx, "store", c.Requests, c.Burst)
}

type weightsCommand struct {
	Dir          string        `required:"" help:"Folder to write to."`
	Name         string        `required:"" help:"Model or adapter."`
	Version      string        `required:"" help:"Version."`
	Shards       int           `default:"4" help:"Files."`
	Size         settings.Size `default:"32MiB" help:"Data bytes of all files together."`
	Seed         uint64        `default:"1" help:"Seed of the content."`
	ChangedSeed  uint64        `help:"Seed of the chunks that differ from the version written with --seed alone."`
	ChangedEvery int           `default:"8" help:"One chunk in so many differs when --changed-seed is given."`
}

func (c *weightsCommand) Run() error {
	digest, err := standin.WriteWeights(standin.WeightsSpec{
		Dir: c.Dir, Name: c.Name, Version: c.Version, Shards: c.Shards, Size: int64(c.Size),
		Seed: c.Seed, ChangedSeed: c.ChangedSeed, ChangedEvery: c.ChangedEvery,
	})
	if err == nil {
		fmt.Println(digest)
	}
	return err
}

func crash() { os.Exit(exitCrash) }

// serve runs an HTTP server until ctx ends and then shuts it down gracefully.
func serve(ctx context.Context, name, address string, handler http.Handler) error {
	logger, err := logging.Setup("rhubarb-standin", name+"@"+address, "info")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), readHeaderTimeout)
		defer cancel()
		stopped <- server.Shutdown(shutdown)
	}()
	logger.WithField("address", listener.Addr().String()).Info("standin_listening")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := kong.Parse(&commands{}, kong.Description("Stand-ins for the systems that rhubarbhill meets."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Exit(daemon.Exit))
	parser.FatalIfErrorf(parser.Run())
}
