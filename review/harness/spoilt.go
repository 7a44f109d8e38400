package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelName   = "daka510000"
	pieceCount  = 64
	pieceBytes  = 32768
	layerCount  = 16
	stagerStill = 4 * time.Second // how long the side machine stands still
	// checkedPieces is the number of pieces that were read back when the machine freezes.
	checkedPieces = pieceCount / 2
	excused       = 3 * time.Second // a piece that turned bad later than that is excused
)

// weightsPiece returns a piece of a version of the weights.
func weightsPiece(version, piece int) []byte {
	line := fmt.Sprintf("version %d piece %d;", version, piece)
	return []byte(strings.Repeat(line, pieceBytes/len(line)+1)[:pieceBytes])
}

// origin serves the weights.
type origin struct{ c *cluster }

func (o origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	if err != nil {
		version = 2
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/manifest/"):
		var digests []string
		for i := range pieceCount {
			sum := sha256.Sum256(weightsPiece(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests})
	case strings.HasPrefix(r.URL.Path, "/piece/"):
		piece, err := strconv.Atoi(r.URL.Query().Get("sample_size"))
		if err != nil || piece < 0 || piece >= pieceCount {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(weightsPiece(version, piece))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// modelServer is a stand-in for a model server with its staging area.
type modelServer struct {
	*server

	mu       sync.Mutex
	staged   map[int][]byte
	badSince map[int]time.Time // pieces that turned bad in the staging area
	spoilt   string            // what is wrong with the loaded layers; empty for nothing
	orders   uint64
	loading  bool
	puts     int
	verified int // pieces read back in order since the last one was staged
	// checked is called once the first checkedPieces were read back after the last one was
	// staged.
	checked func()
}

// ServeHTTP implements http.Handler for the calls from the server's own machine.
func (m *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		m.reportFresh(w)
	case r.URL.Path == "/order":
		m.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"), strings.HasPrefix(r.URL.Path, "/stage-get/"):
		m.stage(w, r)
	default:
		m.serve(w, r)
	}
}

func (m *modelServer) reportFresh(w http.ResponseWriter) {
	state := m.report()
	m.mu.Lock()
	defer m.mu.Unlock()
	state["busy"], state["sequence"], state["queue_depth"], state["active_requests"] = m.loading, m.orders, 0, 0
	state["kv_used"], state["kv_total"], state["handles"], state["pace"] = 0, 1180000, 0, 1.0
	_ = json.NewEncoder(w).Encode(state)
}

func (m *modelServer) stage(w http.ResponseWriter, r *http.Request) {
	piece, err := strconv.Atoi(r.URL.Query().Get("sample_size"))
	if err != nil || piece < 0 || piece >= pieceCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.staged[piece], m.verified = data, 0
		delete(m.badSince, piece)
		m.puts++
		m.mu.Unlock()
		return
	}
	m.mu.Lock()
	data, found := m.staged[piece]
	if piece == m.verified {
		m.verified++
	}
	var checked func()
	if m.verified == checkedPieces && m.puts >= pieceCount && m.checked != nil {
		checked, m.checked = m.checked, nil
	}
	m.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
	if checked != nil {
		go checked()
	}
}

// order loads the staged pieces as they are when the order is accepted.
func (m *modelServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Version int    `json:"version"`
		Expect  uint64 `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loading || o.Expect != m.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	m.orders++
	m.loading = true
	now := time.Now()
	m.spoilt = ""
	for i := range pieceCount {
		if bytes.Equal(m.staged[i], weightsPiece(o.Version, i)) {
			continue
		}
		since, rotten := m.badSince[i]
		m.c.note("order    version %d takes a bad piece %d, bad for %.3f s", o.Version, i, now.Sub(since).Seconds())
		if !rotten || now.Sub(since) > excused {
			m.spoilt = fmt.Sprintf("piece %d, bad for %.3f s when the order was accepted", i, now.Sub(since).Seconds())
		}
	}
	m.c.note("order    %s accepts version %d", m.id, o.Version)
	go func() {
		time.Sleep(300 * time.Millisecond)
		m.server.mu.Lock()
		m.version = uint64(o.Version)
		m.server.mu.Unlock()
		m.mu.Lock()
		m.loading = false
		m.mu.Unlock()
		m.c.note("order    %s has loaded version %d", m.id, o.Version)
	}()
	w.WriteHeader(http.StatusAccepted)
}

// rot turns a staged piece bad.
func (m *modelServer) rot(piece int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	bad := bytes.Clone(m.staged[piece])
	bad[100] ^= 1
	m.staged[piece], m.badSince[piece] = bad, time.Now()
	m.c.note("staged   piece %d turns bad", piece)
}

// spoilt freezes a side machine while it checks the staged pieces before the order to load
// them, while a piece turns bad, and checks rule WHOLE: no token is made with a layer that was
// taken with a piece that had been bad for more than 3 s.
func spoilt(c *cluster) (bool, error) {
	if _, err := c.controls(3); err != nil {
		return false, err
	}
	fronts, err := c.fronts(1)
	if err != nil {
		return false, err
	}
	m := &modelServer{server: newServer(c, "i-1", "quote-model", 71, 16), staged: map[int][]byte{}, badSince: map[int]time.Time{}}
	m.model, m.layers, m.version = modelName, layerCount, 1
	for i := range pieceCount {
		m.staged[i] = weightsPiece(1, i)
	}
	broken := ""
	m.handle = func(w http.ResponseWriter, r *http.Request, _ []byte) {
		m.mu.Lock()
		wrong := m.spoilt
		m.mu.Unlock()
		if wrong != "" {
			broken = wrong
			c.note("WHOLE    %s is answered with a layer that was taken with %s", r.Header.Get("X-Request-Id"), wrong)
		}
		writeStream(c, w, r, m.id, r.Header.Get("X-Request-Id"), func() time.Duration { return 0 })
	}
	m.handler = m // for requests and for the calls from the server's own machine
	if err := m.run(); err != nil {
		return false, err
	}
	originAddress := net.JoinHostPort(c.ip(90), "8006")
	l, err := net.Listen("tcp", originAddress)
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(l, origin{c}) }()
	stager, err := c.program("stager", "side-1", 72, map[string]string{"app": m.address, "service": "quote-model"})
	if err != nil {
		return false, err
	}
	if err := stager.run(); err != nil {
		return false, err
	}
	quote := route("plan", "streaming", "/plan/", "quote-model", 6000, 2)
	quote["target_latency_ms"], quote["target_gap_ms"] = 500, 400
	weights := map[string]any{"name": "yard-ops", "origin": originAddress, "zone": "bne-a", "link_mbps": 9.9, "max_connections": 48}
	if !c.configure(configuration(7, []map[string]any{quote}, []map[string]any{engineService("quote-model", modelName), weights})) || !c.awaitReady(fronts) {
		return false, errCannotRun
	}
	time.Sleep(5 * time.Second) // all machines are in touch

	m.mu.Lock()
	m.checked = func() {
		c.note("staged   the first %d pieces were read back and match", checkedPieces)
		if c.trouble {
			stager.signal(syscall.SIGSTOP)
		}
		time.Sleep(300 * time.Millisecond)
		m.rot(5)
		time.Sleep(stagerStill - 300*time.Millisecond)
		if c.trouble {
			stager.signal(syscall.SIGCONT)
		}
	}
	m.mu.Unlock()
	put, _ := json.Marshal(map[string]any{"model": modelName, "version": 2}) // never fails
	node := c.callControl(http.MethodPost, "/version-put", put)
	if node == "" {
		return false, errCannotRun
	}
	c.note("operator weights version 2 acknowledged by %s", node)
	for end := time.Now().Add(30 * time.Second); m.loadedVersion() < 2; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return false, errCannotRun
		}
	}
	time.Sleep(2 * time.Second)
	result := c.stream(fronts[0].ip, "00000000000000b0")
	time.Sleep(200 * time.Millisecond)
	if result != "complete" {
		return false, fmt.Errorf("%w: the request for a token got %s", errCannotRun, result)
	}
	return broken == "", nil
}

func (m *modelServer) loadedVersion() uint64 {
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.version
}
