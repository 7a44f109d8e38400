package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testToken = "token-for-tests-only"
	testModel = "quote-large"
	testSet   = "sha256:set-one"
)

// cluster is a fake control replica, fake gates and real entries on an in-memory
// network. Its tests run in virtual time, because the timeouts are so short that
// they would expire on a busy machine.
type cluster struct {
	t       *testing.T
	is      *is.I
	net     *memnet.Network
	control *entrytest.Control
	gates   []*entrytest.Gate
	entries []*testEntry
}

type testEntry struct {
	*Entry
	url    string
	client *http.Client
	stop   func()
}

func readTestToken(t *testing.T) auth.Token {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte(testToken), 0o600); err != nil {
		t.Fatal(err)
	}
	token, err := auth.ReadToken(path)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

func testCatalogue() release.Catalogue {
	c := release.NewCatalogue()
	c.Revision = 1
	c.Models[testModel] = release.Model{Name: testModel, Version: "1", Role: "quote"}
	c.Adapters["council"] = release.Adapter{Name: "council", Base: testModel, Version: "1"}
	return c
}

func engineGate(id string) *entrytest.Gate {
	return &entrytest.Gate{ID: id, Zone: "z1", Model: testModel, Set: testSet, Capacity: 8, Tokens: 6, PerToken: 2 * time.Millisecond}
}

func serviceGate(id string) *entrytest.Gate {
	return &entrytest.Gate{ID: id, Zone: "z1", Service: "orders", Capacity: 8}
}

// clusterStart is the earliest virtual time in a cluster. Virtual time starts in the
// year 2000, at which the expired key of TestClaimedCallRunsOnce would not be
// expired.
var clusterStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newCluster starts control and the gates, and announces the gates to control.
func newCluster(t *testing.T, gates ...*entrytest.Gate) *cluster {
	time.Sleep(time.Until(clusterStart))
	c := &cluster{t: t, is: is.New(t), net: memnet.New(), control: &entrytest.Control{Token: testToken}, gates: gates}
	c.control.Network = c.net.Host("control")
	c.control.Start()
	t.Cleanup(c.control.Close)
	for _, g := range gates {
		g.Network = c.net.Host(g.ID)
		g.Start()
		t.Cleanup(g.Close)
	}
	c.control.SetCatalogue(testCatalogue())
	c.announce()
	return c
}

func (c *cluster) announce() {
	var table []wire.Announce
	for _, g := range c.gates {
		table = append(table, g.Announce())
	}
	c.control.SetMembers(table...)
}

func (c *cluster) listen(n int) []net.Listener {
	c.t.Helper()
	var list []net.Listener
	for range n {
		l, err := c.net.Host("entry").Listen("127.0.0.1:0")
		c.is.NoErr(err)
		list = append(list, l)
	}
	return list
}

// addEntry starts an entry and waits until it has the catalogue and all endpoints.
func (c *cluster) addEntry(change ...func(*Settings)) *testEntry {
	c.t.Helper()
	return c.startEntry(c.listen(1)[0], change...)
}

func (c *cluster) startEntry(listener net.Listener, change ...func(*Settings)) *testEntry {
	c.t.Helper()
	s := DefaultSettings()
	s.Instance, s.Zone, s.Region = "entry-"+string(rune('a'+len(c.entries))), "z1", "r1"
	s.Advertise, s.Controls = listener.Addr().String(), []string{c.control.Address()}
	s.AddressTTL, s.StallTimeout = Duration(100*time.Millisecond), Duration(300*time.Millisecond)
	// Long enough that requests in tests of other features are not refused.
	s.QueueWait = Duration(2 * time.Second)
	for _, f := range change {
		f(&s)
	}
	token := readTestToken(c.t)
	e := New(Options{
		Settings: s, ProcessToken: token, CallerToken: token, Listener: listener,
		Network: c.net.Host(s.Instance),
		Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	stopped := false
	te := &testEntry{Entry: e, url: "http://" + listener.Addr().String(), client: c.newCaller(), stop: func() {
		if !stopped {
			stopped = true
			cancel()
			if err := <-ended; err != nil {
				c.t.Error(err)
			}
		}
	}}
	c.t.Cleanup(te.stop)
	c.entries = append(c.entries, te)
	c.eventually("entry knows its endpoints", func() bool {
		_, known := e.directory.current()
		return known && len(e.directory.endpoints()) == len(c.gates)
	})
	return te
}

func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatal("timed out waiting until " + what)
		}
	}
}

// answer is a response as received by a caller.
type answer struct {
	status    int
	header    http.Header
	trailer   http.Header
	body      string
	text      string // concatenated content of a stream's events
	done      bool   // the stream had its end marker
	errorCode string // code of the stream's error event
	err       error
}

func (a answer) outcome() string {
	if o := a.header.Get(wire.HeaderOutcome); o != "" {
		return o
	}
	return a.trailer.Get(wire.HeaderOutcome)
}

func (a answer) reason() string {
	if r := a.header.Get(wire.HeaderReason); r != "" {
		return r
	}
	return a.trailer.Get(wire.HeaderReason)
}

// withoutDeadline hides T.Deadline from package rapid, because it must not be called
// in virtual time.
type withoutDeadline struct{ testing.TB }

// runVirtual runs a parallel subtest in virtual time.
func runVirtual(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, test)
	})
}

func (c *cluster) newCaller() *http.Client {
	transport := network.HTTPTransport(c.net.Host("caller"))
	transport.DisableKeepAlives = true
	return &http.Client{Transport: transport}
}

func (e *testEntry) do(method, path, body string, header ...string) answer {
	request, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := e.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	data, err := io.ReadAll(response.Body)
	a.body, a.err, a.trailer = string(data), err, response.Trailer
	if isEventStream(response.Header) {
		a.readEvents()
	}
	return a
}

func (a *answer) readEvents() {
	events := newEventReader(bufio.NewReader(strings.NewReader(a.body)))
	for {
		_, data, err := events.next()
		if err != nil {
			return
		}
		if string(data) == endMarker {
			a.done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		if json.Unmarshal(data, &chunk) != nil {
			a.errorCode = "not JSON"
			return
		}
		a.errorCode += chunk.Error.Code
		if len(chunk.Choices) > 0 {
			a.text += chunk.Choices[0].Delta.Content
		}
	}
}

func chatText(stream bool, content string) string {
	data, _ := json.Marshal(map[string]any{
		"model": testModel, "stream": stream, "messages": []map[string]string{{"role": "user", "content": content}},
	})
	return string(data)
}

func (e *testEntry) chat(stream bool, content string, header ...string) answer {
	return e.do(http.MethodPost, pathChat, chatText(stream, content), header...)
}
