package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/engine"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// costSettings names the settings of an agent that this test binary runs as a
// process of its own, so that its cost is measured alone.
const costSettings = "AGENT_COST_SETTINGS"

func runForCost(path string) {
	s := DefaultSettings()
	if err := settings.Load(path, &s); err != nil {
		panic(err)
	}
	token, err := auth.ReadToken(s.ProcessTokenFile)
	if err != nil {
		panic(err)
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	weights, err := OpenWeights(s, token, logger)
	if err != nil {
		panic(err)
	}
	registry := metrics.NewRegistry()
	_ = New(Config{Settings: s, Token: token, Weights: weights, Log: logger, Registry: registry}).Run(context.Background())
}

// BenchmarkControlCost measures an idle agent against four voters, with a
// member table of the given size, of which one endpoint changes per update.
// Run it with -benchtime=1x; each run takes 20 s.
func BenchmarkControlCost(b *testing.B) {
	for _, load := range []struct{ members, updatesPerSecond int }{{19, 0}, {800, 0}, {800, 10}, {800, 100}} {
		b.Run(fmt.Sprintf("members=%d/updates=%d", load.members, load.updatesPerSecond), func(b *testing.B) {
			for range b.N {
				measureCost(b, load.members, load.updatesPerSecond)
			}
		})
	}
}

func measureCost(b *testing.B, members, updatesPerSecond int) {
	dir := b.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		return path
	}
	names, controls := []string{"c0", "c1", "c2", "c3"}, ""
	done := make(chan struct{})
	defer close(done)
	for _, name := range names {
		c := &fakeControl{
			name: name, revision: 1, voters: names, voterIndex: 1,
			catalogue: testCatalogue(1, ""), sessions: map[*transport.Session]bool{},
		}
		v := httptest.NewServer(&transport.Server{Handler: c.handle, Authorize: func(*http.Request) bool { return true }})
		defer v.Close()
		defer v.CloseClientConnections()
		controls += "  - " + v.Listener.Addr().String() + "\n"
		go c.sendMembers(members, updatesPerSecond, done)
	}
	backend := httptest.NewServer(&fakeEngine{started: 1})
	defer backend.Close()
	address := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	admin := address()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), costSettings+"="+write("agent.yaml", strings.NewReplacer(
		"GATE", address(), "PEER", address(), "ADMIN", admin, "TOKEN", write("token", testToken),
		"CACHE", dir, "BACKEND", backend.URL, "CONTROLS", controls).Replace(costYAML)))
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = command.Process.Kill(); _ = command.Wait() }()
	time.Sleep(5 * time.Second)
	before, start := scrape(b, admin), time.Now()
	time.Sleep(15 * time.Second)
	after, seconds := scrape(b, admin), time.Since(start).Seconds()
	rate := func(name string) float64 { return (after[name] - before[name]) / seconds }
	b.ReportMetric(rate(`rhubarb_agent_control_bytes_total{direction="sent"}`), "sent-B/s")
	b.ReportMetric(rate(`rhubarb_agent_control_bytes_total{direction="received"}`), "received-B/s")
	b.ReportMetric(100*rate("process_cpu_seconds_total"), "%core")
	b.ReportMetric(after["process_resident_memory_bytes"]/(1<<20), "RSS-MiB")
}

const costYAML = `instance: i
zone: z
region: r
admin_listen: ADMIN
process_token_file: TOKEN
endpoint: engine-0
kind: engine
role: quote
gate_listen: GATE
advertise_gate: GATE
peer_listen: PEER
advertise_peer: PEER
backend: BACKEND
cache_dir: CACHE
origin: http://127.0.0.1:1
capacity: 8
controls:
CONTROLS`

// sendMembers sends a table and then changes of single endpoints.
func (c *fakeControl) sendMembers(members, updatesPerSecond int, done <-chan struct{}) {
	table := make([]wire.Announce, members)
	for i := range table {
		table[i] = wire.Announce{
			Endpoint: fmt.Sprintf("engine-%d", i), Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
			Kind: wire.KindEngine, Role: "quote", Zone: "zone-1", Region: "region-1",
			GateAddress: "10.100.100.100:7400", ChunkAddress: "10.100.100.100:7401", Capacity: 8, Ready: true,
			Sets: []wire.LoadedSet{{Model: "quote-large", Version: "2", SetID: setID("2")}}, Revision: 1, Confirmed: true,
		}
	}
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	for s := range c.sessions {
		_ = s.Send(wire.Members{Epoch: 1, Version: 1, Updated: table})
	}
	c.mu.Unlock()
	if updatesPerSecond == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(updatesPerSecond))
	defer ticker.Stop()
	for version := uint64(2); ; version++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		one := &table[version%uint64(members)]
		one.Sequence++
		one.InFlight = int(version % 8)
		c.mu.Lock()
		for s := range c.sessions {
			_ = s.Send(wire.Members{Epoch: 1, Version: version, Base: version - 1, Updated: []wire.Announce{*one}})
		}
		c.mu.Unlock()
	}
}

var sample = regexp.MustCompile(`(?m)^([a-z_]+(?:\{[^}]*\})?) (\S+)$`)

func scrape(b *testing.B, admin string) map[string]float64 {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		b.Fatal(err)
	}
	values := map[string]float64{}
	for _, m := range sample.FindAllStringSubmatch(string(data), -1) {
		values[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	return values
}

// BenchmarkRelay measures the gate's own work for one token of a stream.
func BenchmarkRelay(b *testing.B) {
	set := setID("1")
	var body strings.Builder
	for i := range b.N {
		_, _ = fmt.Fprintf(&body, "data: {\"id\":\"chatcmpl-1767225600000000000\",\"object\":\"chat.completion.chunk\",\"created\":1767225600,"+
			"\"model\":\"m\",\"system_fingerprint\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token-%d \"},\"finish_reason\":null}]}\n\n", set, i)
	}
	body.WriteString("data: [DONE]\n\n")
	a := &Agent{state: newState(DefaultSettings(), time.Now())}
	s := &stream{agent: a, w: &recorder{header: http.Header{}}, attempt: &attempt{model: "m"}, header: http.Header{}}
	s.attempt.request.Set = set
	s.header.Set(engine.HeaderWeightsSet, set)
	b.ReportAllocs()
	b.ResetTimer()
	if err := s.relay(strings.NewReader(body.String())); err != nil {
		b.Fatal(err)
	}
}
