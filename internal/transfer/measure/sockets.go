package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
	"github.com/rhubarbhill/rhubarbhill/swarm"
)

// The run over sockets keeps the ratios of the link model at a smaller size.
const (
	socketChunks      = 32
	socketCopyBytes   = socketChunks * chunkBytes
	socketMachineRate = 16e6
	socketOriginRate  = socketMachineRate * originCopiesPerWindow / machineCopiesPerWindow
	// socketAdapterBytes makes an adapter of two chunks.
	socketAdapterBytes = chunkBytes * 3 / 2
	quietTime          = 3 * time.Second
	socketTimeout      = 120 * time.Second
	socketFile         = "quote-large/2/model.bin"
	// pressureBound is the median token gap over the quiet one, above which
	// transfers slow down.
	pressureBound = 1.05
)

type socketRun struct {
	deployment deployment
	objective  swarm.Objective
	rule       swarm.RegionLinks
	links      *regionLinks
	// adapters is the number of adapters of the set beside its model.
	adapters int
	// manifestFetches is the transfers' setting; 0 takes its default.
	manifestFetches int
	origin          *http.Server
	originURL       string
	sentOrigin      atomic.Int64
	contents        map[string][]byte // of the origin, by path
	set             release.WeightsSet
	token           auth.Token
	dir             string
	agents          []*transfer.Transfer
	servers         []*http.Server
	addresses       []string
	quotes          *quoteLoad
}

type socketResult struct {
	took                    time.Duration
	ratio                   float64
	originCopies            float64
	quietFirst, busyFirst   time.Duration
	quietTokens, busyTokens time.Duration
	linkMegabytes           []float64
}

func runSockets(d deployment, objective swarm.Objective, rule swarm.RegionLinks) (result socketResult, err error) {
	r := &socketRun{deployment: d, objective: objective, rule: rule, quotes: newQuoteLoad()}
	defer r.close()
	if err := r.setUp(); err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), socketTimeout)
	defer cancel()
	var load sync.WaitGroup
	lctx, stopLoad := context.WithCancel(ctx)
	load.Go(func() { r.quotes.run(lctx, r.addresses) })
	time.Sleep(quietTime)
	result.quietFirst, result.quietTokens = r.quotes.p95()
	quiet := map[string]time.Duration{}
	for _, a := range r.addresses {
		quiet[a] = r.quotes.recent(a)
	}
	r.quotes.reset()
	load.Go(func() { r.drivePressure(lctx, quiet) })
	started := time.Now()
	err = r.fetch(ctx)
	result.took = time.Since(started)
	result.busyFirst, result.busyTokens = r.quotes.p95()
	stopLoad()
	load.Wait()
	r.quotes.client.CloseIdleConnections()
	result.originCopies = float64(r.sentOrigin.Load()) / socketCopyBytes
	result.ratio = result.took.Seconds() / r.lowerBound(socketCopyBytes)
	result.linkMegabytes = r.links.megabytes()
	return result, err
}

// lowerBound is the least time in seconds for a set of the given size under the
// run's rule: a copy through each machine's downlink, the copies that the rule
// takes from the origin, and with once a copy into each region over its links.
func (r *socketRun) lowerBound(bytes float64) float64 {
	regions := float64(len(r.deployment.regions))
	if r.rule == swarm.RegionLinksOnce {
		return max(bytes/socketMachineRate, bytes/socketOriginRate, bytes/(regions*regionLinkBytes))
	}
	return max(bytes/socketMachineRate, regions*bytes/socketOriginRate)
}

func (r *socketRun) setUp() (err error) {
	if r.dir, err = os.MkdirTemp("", "rhubarb-measure-"); err != nil {
		return err
	}
	tokenFile := filepath.Join(r.dir, "token")
	if err := os.WriteFile(tokenFile, []byte(rand.Text()), 0o600); err != nil {
		return err
	}
	if r.token, err = auth.ReadToken(tokenFile); err != nil {
		return err
	}
	if err := r.startOrigin(); err != nil {
		return err
	}
	r.links = newRegionLinks(r.deployment)
	var peers []transfer.Peer
	for _, n := range r.deployment.nodes() {
		address, err := r.startAgent(n)
		if err != nil {
			return err
		}
		peers = append(peers, transfer.Peer{Endpoint: n.ID, Region: n.Region, Zone: n.Zone, ChunkAddress: address})
	}
	for _, a := range r.agents {
		a.SetPeers(peers)
	}
	return nil
}

func (r *socketRun) startOrigin() error {
	r.contents = map[string][]byte{}
	digest, err := r.publish(socketFile, socketCopyBytes)
	if err != nil {
		return err
	}
	r.set.Model = release.Model{Name: "quote-large", Version: "2", Manifest: digest, Role: "quote"}
	for i := range r.adapters {
		name := fmt.Sprintf("adapter-%d", i)
		if digest, err = r.publish(name+"/1/adapter.bin", socketAdapterBytes); err != nil {
			return err
		}
		r.set.Adapters = append(r.set.Adapters, release.Adapter{Name: name, Base: "quote-large", Version: "1", Manifest: digest})
	}
	listener, err := newMachineLink(socketOriginRate, socketOriginRate).Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	r.originURL = "http://" + listener.Addr().String()
	r.origin = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.URL.Path, wire.PathManifests) {
			_, _ = w.Write(r.contents[q.URL.Path])
			return
		}
		counted := &countingWriter{w, &r.sentOrigin}
		http.ServeContent(counted, q, "", time.Time{}, bytes.NewReader(r.contents[q.URL.Path]))
	})}
	go func() { _ = r.origin.Serve(listener) }()
	return nil
}

// publish adds a version of one file to the origin.
func (r *socketRun) publish(name string, size int) (release.Digest, error) {
	data := make([]byte, size)
	_, _ = io.ReadFull(rand.Reader, data)
	var b manifest.Builder
	if err := b.Add(name, bytes.NewReader(data)); err != nil {
		return "", err
	}
	_, encoded, digest, err := b.Build()
	r.contents[wire.PathObjects+name] = data
	r.contents[wire.PathManifests+digest.Hex()] = encoded
	return digest, err
}

type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.count.Add(int64(n))
	return n, err
}

func (r *socketRun) startAgent(n swarm.Node) (string, error) {
	link := newMachineLink(socketMachineRate, socketMachineRate)
	listener, err := link.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.links.place(listener.Addr().String(), n)
	agent, err := transfer.New(transfer.Config{
		CacheDir: filepath.Join(r.dir, n.ID), OriginURL: r.originURL,
		Endpoint: n.ID, Region: n.Region, Zone: n.Zone, Token: r.token,
		Objective: r.objective, RegionLinks: r.rule, Network: regionNetwork{link, n, r.links},
		MaxManifestFetches: r.manifestFetches,
	})
	if err != nil {
		return "", err
	}
	chunks := agent.PeerHandler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == quotePath {
			serveQuote(w, q)
			return
		}
		chunks.ServeHTTP(w, q)
	})}
	go func() { _ = server.Serve(listener) }()
	r.agents = append(r.agents, agent)
	r.servers = append(r.servers, server)
	r.addresses = append(r.addresses, listener.Addr().String())
	return listener.Addr().String(), nil
}

// drivePressure does what the agent does: it slows transfers when its own
// quotes are later than in the quiet time.
func (r *socketRun) drivePressure(ctx context.Context, quiet map[string]time.Duration) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i, a := range r.agents {
			address := r.addresses[i]
			above := float64(r.quotes.recent(address))/float64(max(1, quiet[address])) - pressureBound
			a.SetPressure(min(1, max(0, above)))
		}
	}
}

func (r *socketRun) fetch(ctx context.Context) error {
	errs := make(chan error, len(r.agents))
	for _, a := range r.agents {
		go func() {
			_, err := a.Fetch(ctx, r.set)
			errs <- err
		}()
	}
	var failed error
	for range r.agents {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	return failed
}

func (r *socketRun) close() {
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, a := range r.agents {
		a.Close()
	}
	if r.origin != nil {
		_ = r.origin.Close()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

func printSockets(out io.Writer, d deployment, objective swarm.Objective, rule swarm.RegionLinks) (float64, error) {
	result, err := runSockets(d, objective, rule)
	if err != nil {
		return 0, err
	}
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	_, err = fmt.Fprintf(out, "%d\t%s\t%s, %s\t%.1f\t%.3f\t%.3f\t%.1f / %.1f = %.3f\t%.1f / %.1f = %.3f\t%.1f\n",
		d.instances, d.name, objective, rule, result.took.Seconds(), result.ratio, result.originCopies,
		milliseconds(result.busyFirst), milliseconds(result.quietFirst), float64(result.busyFirst)/float64(result.quietFirst),
		milliseconds(result.busyTokens), milliseconds(result.quietTokens), float64(result.busyTokens)/float64(result.quietTokens), result.linkMegabytes)
	return result.ratio, err
}
