package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/agent/agenttest"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const token = "token of the measurement"

// cost is per second, in percent of a core, and in MiB.
type cost struct{ sent, received, processor, memory float64 }

func measure(l load) (cost, error) {
	dir, err := os.MkdirTemp("", "rhubarb-measure")
	if err != nil {
		return cost{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	done := make(chan struct{})
	defer close(done)
	var controls []string
	names := []string{"c0", "c1", "c2", "c3"}
	for _, name := range names {
		c := &agenttest.Control{Name: name, Revision: 1, Voters: names, VoterIndex: 1, Catalogue: release.NewCatalogue()}
		c.Catalogue.Revision = 1
		v := httptest.NewServer(&transport.Server{Handler: c.Handle, Authorize: allowAll})
		defer v.Close()
		defer v.CloseClientConnections()
		controls = append(controls, v.Listener.Addr().String())
		go sendMembers(c, l, done)
	}
	backend := httptest.NewServer(&agenttest.Engine{Started: 1})
	defer backend.Close()
	peer, err := freeAddress()
	if err != nil {
		return cost{}, err
	}
	admin, settings, err := agentSettings{
		dir: dir, endpoint: "engine-0", backend: backend.URL, origin: "http://127.0.0.1:1", controls: controls,
		peer: peer, memoryLimit: "40MiB",
	}.write()
	if err != nil {
		return cost{}, err
	}
	command := exec.Command(os.Args[0], settings)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return cost{}, err
	}
	defer func() { _ = command.Process.Kill(); _ = command.Wait() }()
	return sample(admin)
}

func sample(admin string) (cost, error) {
	time.Sleep(warmUp)
	before, err := scrape(admin)
	if err != nil {
		return cost{}, err
	}
	start := time.Now()
	time.Sleep(duration)
	after, err := scrape(admin)
	seconds := time.Since(start).Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	return cost{
		sent:      rate(`rhubarb_agent_control_bytes_total{direction="sent"}`),
		received:  rate(`rhubarb_agent_control_bytes_total{direction="received"}`),
		processor: 100 * rate("process_cpu_seconds_total"),
		memory:    after["process_resident_memory_bytes"] / (1 << 20),
	}, err
}

func allowAll(*http.Request) bool { return true }

// agentSettings is what the agents of measurements differ in.
type agentSettings struct {
	dir, endpoint, backend, origin, peer, memoryLimit string
	controls                                          []string
}

// write returns the admin address and the path of the settings file.
func (s agentSettings) write() (admin, path string, err error) {
	if admin, err = freeAddress(); err != nil {
		return "", "", err
	}
	gate, err := freeAddress()
	if err != nil {
		return "", "", err
	}
	tokenFile := filepath.Join(s.dir, "token")
	if err := os.WriteFile(tokenFile, []byte(token), 0o600); err != nil {
		return "", "", err
	}
	text := fmt.Sprintf(`{instance: i, zone: z, region: r, endpoint: %q, kind: engine, role: quote, capacity: 8,
  admin_listen: %q, gate_listen: %q, advertise_gate: %q, peer_listen: %q, advertise_peer: %q, memory_limit: %s,
  process_token_file: %q, backend: %q, cache_dir: %q, origin: %q, controls: [%s]}
`, s.endpoint, admin, gate, gate, s.peer, s.peer, s.memoryLimit, tokenFile, s.backend, s.dir, s.origin,
		strings.Join(quoted(s.controls), ", "))
	path = filepath.Join(s.dir, "agent.yaml")
	return admin, path, os.WriteFile(path, []byte(text), 0o600)
}

func quoted(list []string) []string {
	var out []string
	for _, s := range list {
		out = append(out, strconv.Quote(s))
	}
	return out
}

// sendMembers sends a table and then changes of single endpoints.
func sendMembers(c *agenttest.Control, l load, done <-chan struct{}) {
	table := make([]wire.Announce, l.members)
	for i := range table {
		table[i] = wire.Announce{
			Endpoint: fmt.Sprintf("engine-%d", i), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
			Kind: wire.KindEngine, Role: "quote", Zone: "zone-1", Region: "region-1",
			GateAddress: "10.100.100.100:7400", ChunkAddress: "10.100.100.100:7401", Capacity: 8, Ready: true,
			Sets:     []wire.LoadedSet{{Model: "quote-large", Version: "2", SetID: string(release.DigestOf(nil))}},
			Revision: 1, Confirmed: true,
		}
	}
	time.Sleep(warmUp / 2)
	c.Send(wire.Members{Epoch: 1, Version: 1, Updated: table})
	if l.updates == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(l.updates))
	defer ticker.Stop()
	for version := uint64(2); ; version++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		one := &table[version%uint64(l.members)]
		one.Sequence++
		one.InFlight = int(version) % one.Capacity
		c.Send(wire.Members{Epoch: 1, Version: version, Base: version - 1, Updated: []wire.Announce{*one}})
	}
}

var metric = regexp.MustCompile(`(?m)^([a-z_]+(?:\{[^}]*\})?) (\S+)$`)

func scrape(admin string) (map[string]float64, error) {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for _, m := range metric.FindAllStringSubmatch(string(data), -1) {
		if v, err := strconv.ParseFloat(m[2], 64); err == nil {
			values[m[1]] = v
		}
	}
	return values, nil
}
