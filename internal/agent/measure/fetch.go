package main

import (
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/standin"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	fetchAgents  = 2
	fetchBytes   = 1 << 30
	fetchRate    = 4 * (8 << 30) / 180 // of the origin, as in Kerbline
	fetchTimeout = 3 * time.Minute
	fetchPoll    = 100 * time.Millisecond
	// manifestTime is enough for an agent to decode the largest manifest.
	manifestTime = 8 * time.Second
	mebibyte     = 1 << 20
)

// fetchLimits are values of memory_limit; the first is without limit.
var fetchLimits = []string{"0B", "56MiB", "48MiB", "40MiB", "32MiB"}

// content writes or describes the weights that the agents fetch.
type content struct {
	name    string
	publish func(dir string) (release.Digest, error)
	// ended reports whether the measured part is over.
	ended func(a *fetchAgent) bool
}

var contents = []content{
	{"1 GiB", publishWeights, func(a *fetchAgent) bool { return len(a.engine.ReceivedOrders()) > 0 }},
	{"largest manifest", publishLargestManifest, func(a *fetchAgent) bool { return time.Since(a.started) > manifestTime }},
}

// measureFetches prints the peak memory of real agent processes.
func measureFetches(binary string) error {
	fmt.Println("content           memory_limit  agent  seconds  peak RSS MiB  heap in use MiB  processor s  from origin MiB  from peer MiB")
	for _, c := range contents {
		for _, limit := range fetchLimits {
			if err := measureFetch(binary, limit, c); err != nil {
				return err
			}
		}
	}
	return nil
}

func publishWeights(dir string) (release.Digest, error) {
	return standin.WriteWeights(standin.WeightsSpec{
		Dir: dir, Name: "quote-large", Version: "1", Shards: 4, Size: fetchBytes, ChangedEvery: 1,
	})
}

// publishLargestManifest names 256 GiB of chunks that no source has: the agents
// decode the manifest, and hash sparse files.
func publishLargestManifest(dir string) (release.Digest, error) {
	const files = 16
	var m manifest.Manifest
	for i := range files {
		f := manifest.File{Name: fmt.Sprintf("largest/%d", i)}
		for k := range manifest.MaxChunks / files {
			digest := release.DigestOf(fmt.Appendf(nil, "%d/%d", i, k))
			f.Chunks = append(f.Chunks, manifest.Chunk{Digest: digest, Size: manifest.ChunkBytes})
			f.Size += manifest.ChunkBytes
		}
		m.Files = append(m.Files, f)
	}
	data, digest, err := manifest.Encode(m)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "manifests", digest.Hex())
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return "", err
	}
	return digest, os.WriteFile(path, data, 0o600)
}

// fetchRun is an origin, voters and engines around agent processes.
type fetchRun struct {
	dir      string
	origin   *httptest.Server
	controls []string
	members  wire.Members
	close    []func()
}

func measureFetch(binary, limit string, c content) error {
	dir, err := os.MkdirTemp("", "rhubarb-measure")
	if err != nil {
		return err
	}
	r := &fetchRun{dir: dir, members: wire.Members{Epoch: 1, Version: 1}}
	defer r.end()
	digest, err := c.publish(filepath.Join(dir, "origin"))
	if err != nil {
		return err
	}
	r.serveOrigin()
	peers := make([]string, fetchAgents)
	for i := range peers {
		if peers[i], err = freeAddress(); err != nil {
			return err
		}
		r.members.Updated = append(r.members.Updated, wire.Announce{
			Endpoint: fmt.Sprintf("engine-%d", i), Incarnation: 1, Kind: wire.KindEngine, Role: "quote",
			Zone: "z", Region: "r", ChunkAddress: peers[i],
		})
	}
	r.serveControls(digest)
	agents := make([]*fetchAgent, fetchAgents)
	for i := range agents {
		if agents[i], err = r.startAgent(binary, limit, i, peers[i]); err != nil {
			return err
		}
	}
	for i, a := range agents {
		if err := a.report(limit, i, c); err != nil {
			return err
		}
	}
	return nil
}

func (r *fetchRun) end() {
	for _, c := range r.close {
		c()
	}
	_ = os.RemoveAll(r.dir)
}

func (r *fetchRun) serve(s *httptest.Server) *httptest.Server {
	r.close = append(r.close, s.Close, s.CloseClientConnections)
	return s
}

func (r *fetchRun) serveOrigin() {
	objects := standin.NewObjects(standin.ObjectsConfig{Dir: filepath.Join(r.dir, "origin"), LinkBytesPerSecond: fetchRate})
	r.origin = r.serve(httptest.NewServer(objects.Handler()))
}

func (r *fetchRun) serveControls(digest release.Digest) {
	catalogue := release.NewCatalogue()
	catalogue.Revision = 1
	catalogue.Models["quote-large"] = release.Model{Name: "quote-large", Version: "1", Manifest: digest, Role: "quote"}
	names := []string{"c0", "c1", "c2", "c3"}
	for _, name := range names {
		c := &agenttest.Control{Name: name, Revision: 1, Voters: names, VoterIndex: 1, Catalogue: catalogue, Members: &r.members}
		s := r.serve(httptest.NewServer(&transport.Server{Handler: c.Handle, Authorize: allowAll}))
		r.controls = append(r.controls, s.Listener.Addr().String())
	}
}

// fetchAgent is a measured process.
type fetchAgent struct {
	engine  *agenttest.Engine
	command *exec.Cmd
	admin   string
	started time.Time
}

func (r *fetchRun) startAgent(binary, limit string, index int, peer string) (*fetchAgent, error) {
	a := &fetchAgent{engine: &agenttest.Engine{Started: 1}, started: time.Now()}
	backend := r.serve(httptest.NewServer(a.engine))
	dir := filepath.Join(r.dir, fmt.Sprintf("agent-%d", index))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	s := agentSettings{
		dir: dir, endpoint: fmt.Sprintf("engine-%d", index), backend: backend.URL, origin: r.origin.URL,
		controls: r.controls, peer: peer, memoryLimit: limit,
	}
	admin, path, err := s.write()
	if err != nil {
		return nil, err
	}
	a.admin = admin
	a.command = exec.Command(binary, "--settings", path)
	a.command.Stderr = os.Stderr
	if err := a.command.Start(); err != nil {
		return nil, err
	}
	r.close = append(r.close, func() { _ = a.command.Process.Kill(); _ = a.command.Wait() })
	return a, nil
}

var errFetchTimeout = errors.New("the engine got no load order")

func (a *fetchAgent) report(limit string, index int, c content) error {
	for !c.ended(a) {
		if time.Since(a.started) > fetchTimeout {
			return errFetchTimeout
		}
		time.Sleep(fetchPoll)
	}
	took := time.Since(a.started)
	peak, err := peakMemory(a.command.Process.Pid)
	if err != nil {
		return err
	}
	m, err := scrape(a.admin)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%-16s  %12s  %5d  %7.1f  %12.1f  %15.1f  %11.1f  %15.0f  %13.0f\n", c.name, limit, index, took.Seconds(), peak,
		m["go_memstats_heap_inuse_bytes"]/mebibyte, m["process_cpu_seconds_total"],
		m[`rhubarb_agent_transfer_bytes{source="origin"}`]/mebibyte, m[`rhubarb_agent_transfer_bytes{source="peer"}`]/mebibyte)
	return err
}

var highWaterMark = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`)

// peakMemory returns the highest resident memory of a process in MiB.
func peakMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	m := highWaterMark.FindSubmatch(data)
	if m == nil {
		return 0, errors.New("no VmHWM in the process status")
	}
	kibibytes, err := strconv.ParseFloat(string(m[1]), 64)
	return kibibytes / 1024, err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
