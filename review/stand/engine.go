package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes of the weights, as on the sites.
const (
	modelName  = "m0"
	pieceCount = 64
	pieceBytes = 32768
	layerCount = 16
	// recentRot is the time for which a piece that has turned bad is excused.
	recentRot = 3 * time.Second
)

// orderDelay is within the time that the system waits between its last look at the engine and
// the order.
const orderDelay = 20 * time.Millisecond

// pieceOf returns the bytes of a piece.
func pieceOf(version, i int) []byte {
	data := make([]byte, pieceBytes)
	source := rand.NewChaCha8([32]byte{byte(version), byte(i)})
	_, _ = source.Read(data)
	return data
}

// origin is a stand-in of the service with the weights.
type origin struct{ address string }

func newOrigin(c *cluster, ip string) (*origin, error) {
	listener, err := net.Listen("tcp", at(ip, serverPort))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(pieceOf(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests})
	})
	mux.HandleFunc("GET /piece/"+modelName, func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.Atoi(r.URL.Query().Get("version"))
		i, _ := strconv.Atoi(r.URL.Query().Get("sample_size"))
		_, _ = w.Write(pieceOf(version, i))
	})
	go func() { _ = http.Serve(listener, mux) }()
	return &origin{at(ip, serverPort)}, nil
}

// engine is a stand-in of a model server. It is present at the start, with version 1 loaded
// and staged.
type engine struct {
	*server
	onVerified func() // called once, after all pieces have been read back since they were staged

	emu      sync.Mutex
	staged   [][]byte
	badSince []time.Time // when a staged piece turned bad; zero if it did not
	puts     int
	gets     []int // reads of each piece since the last put
	orders   int
	verified bool // all pieces have been read back since they were staged
	once     sync.Once
	loading  bool
	version  int
	spoilt   []string                                 // why layers of the loaded version are bad
	tokens   int                                      // made in all
	events   int                                      // of a stream
	pauses   func(id string, event int) time.Duration // before an event
	ends     map[string]string                        // how the streams ended, by request
	bad      []string                                 // tokens made with a bad layer
}

func newEngine(c *cluster, id, ip, service, zone string, nodes func() []string) (*engine, error) {
	e := &engine{version: 1, staged: make([][]byte, pieceCount), badSince: make([]time.Time, pieceCount), gets: make([]int, pieceCount), onVerified: func() {}, events: 3, pauses: func(string, int) time.Duration { return 0 }, ends: map[string]string{}}
	for i := range pieceCount {
		e.staged[i] = pieceOf(1, i)
	}
	s := &server{c: c, id: id, ip: ip, service: service, zone: zone, born: time.Now().UnixMilli(), nodes: nodes, stop: make(chan struct{}), state: "ready"}
	e.server = s
	listener, err := net.Listen("tcp", at(ip, serverPort))
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.more = e.state
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		e.answer(w, http.StatusOK, e.report())
		e.emu.Lock()
		defer e.emu.Unlock()
		if e.verified { // the order follows
			e.once.Do(func() { time.AfterFunc(orderDelay, e.onVerified) })
		}
	})
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("PUT /stage-put/"+modelName, e.stagePut)
	mux.HandleFunc("GET /stage-get/"+modelName, e.stageGet)
	mux.HandleFunc("POST /quote/", e.generate)
	go func() { _ = http.Serve(listener, mux) }()
	go s.checkInLoop()
	return e, nil
}

func (e *engine) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// state is what the engine says of its weights, in check-ins and reports.
func (e *engine) state() map[string]any {
	e.emu.Lock()
	defer e.emu.Unlock()
	m := map[string]any{"stage": "both", "slots": 16}
	if e.version > 0 {
		m["models"] = []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
		m["layers"] = map[string]any{"from": 0, "target": layerCount, "version": e.version}
	}
	return m
}

func (e *engine) report() map[string]any {
	m := e.state()
	delete(m, "slots")
	e.emu.Lock()
	defer e.emu.Unlock()
	for k, v := range map[string]any{
		"busy": e.loading, "sequence": e.orders, "queue_depth": 0, "active_requests": 0, "kv_used": 0, "kv_total": 1180000, "handles": 0, "pace": 1.0, "born": e.born,
	} {
		m[k] = v
	}
	return m
}

func (e *engine) stagePut(w http.ResponseWriter, r *http.Request) {
	i, err := strconv.Atoi(r.URL.Query().Get("sample_size"))
	data, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil || i < 0 || i >= pieceCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.emu.Lock()
	defer e.emu.Unlock()
	e.staged[i], e.badSince[i], e.gets[i] = data, time.Time{}, 0
	e.puts++
}

func (e *engine) stageGet(w http.ResponseWriter, r *http.Request) {
	i, err := strconv.Atoi(r.URL.Query().Get("sample_size"))
	if err != nil || i < 0 || i >= pieceCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.emu.Lock()
	data := bytes.Clone(e.staged[i])
	e.gets[i]++
	e.verified = e.verified || e.puts >= pieceCount && i == pieceCount-1 && e.gets[i] == 1
	e.emu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// rot spoils some staged pieces.
func (e *engine) rot(pieces ...int) {
	e.emu.Lock()
	defer e.emu.Unlock()
	for _, i := range pieces {
		e.staged[i] = bytes.Clone(e.staged[i])
		e.staged[i][100] ^= 0xff
		e.badSince[i] = time.Now()
	}
	e.c.note("staged pieces %v of %s turn bad", pieces, e.id)
}

// order begins to load the staged pieces as they are at this moment.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Version int    `json:"version"`
		Expect  *int   `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.emu.Lock()
	defer e.emu.Unlock()
	switch {
	case e.loading || o.Expect != nil && *o.Expect != e.orders:
		e.c.note("%s: order for version %d refused with 409", e.id, o.Version)
		w.WriteHeader(http.StatusConflict)
		return
	case e.version == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	}
	now := time.Now()
	var spoilt []string
	for i, data := range e.staged {
		if bytes.Equal(data, pieceOf(o.Version, i)) {
			continue
		}
		why := "was never this version's"
		if !e.badSince[i].IsZero() {
			age := now.Sub(e.badSince[i])
			why = fmt.Sprintf("had been bad for %.3f s", age.Seconds())
			if age <= recentRot {
				e.c.note("%s: piece %d %s as it was taken, which is excused", e.id, i, why)
				continue
			}
		}
		spoilt = append(spoilt, fmt.Sprintf("piece %d %s", i, why))
	}
	e.orders++
	e.loading = true
	e.c.note("%s accepts the order for version %d; spoilt: %v", e.id, o.Version, spoilt)
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(300*time.Millisecond, func() {
		e.emu.Lock()
		defer e.emu.Unlock()
		e.loading, e.version, e.spoilt = false, o.Version, spoilt
		e.c.note("%s holds version %d", e.id, o.Version)
	})
}

// generate makes a short stream.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	e.emu.Lock()
	version, loading, spoilt := e.version, e.loading, e.spoilt
	e.emu.Unlock()
	switch {
	case r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != e.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case loading || version == 0:
		refuse(http.StatusServiceUnavailable)
		return
	case r.Header.Get("X-Expect-Version") != "" && r.Header.Get("X-Expect-Version") != strconv.Itoa(version):
		refuse(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Server-Stamp", e.id)
	w.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	e.emu.Lock()
	e.tokens += e.events
	if len(spoilt) > 0 {
		e.bad = append(e.bad, fmt.Sprintf("%s: %d tokens on version %d: %s", id, e.events, version, strings.Join(spoilt, "; ")))
	}
	e.emu.Unlock()
	e.c.note("%s begins %s on version %d", e.id, id, version)
	end := e.stream(w, r, id)
	e.c.note("%s ends %s: %s", e.id, id, end)
	e.emu.Lock()
	e.ends[id] = end
	e.emu.Unlock()
}

// allSent is the end of a stream whose events were all sent.
const allSent = "all events sent"

// stream sends the events of a stream and returns how it ended.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) string {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return "no flusher"
	}
	for i := range e.events {
		if pause := e.pauses(id, i+1); pause > 0 {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return fmt.Sprintf("its connection was closed before event %d", i+1)
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", i+1); err != nil {
			return err.Error()
		}
		flusher.Flush()
	}
	return allSent
}
