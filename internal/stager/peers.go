package stager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

const (
	pathPieces = "/pieces/{version}"
	pathPiece  = "/pieces/{version}/{piece}"

	// listWait is how long a stager delays its answer to a request for a list that it does
	// not have yet.
	listWait = 1200 * time.Millisecond
	// uploadWriteSize is the size of one write of an upload. It takes 9 ms on a link of
	// 7.6 Mbit/s.
	uploadWriteSize = 8 << 10
	// uploadShare is the share of the link that pieces may use. The rest is for the
	// engine's answers.
	uploadShare = 0.9
	// maxUploads limits the concurrent uploads of pieces, to this and other regions
	// together.
	maxUploads = 6
	// maxListBytes limits the size of a list of pieces: one of 64 pieces takes 5 KB.
	maxListBytes = 1 << 20
)

var errNotHeld = errors.New("peer does not have the piece")

// peerHandler returns a handler that serves lists and pieces to other stagers.
func (d *Daemon) peerHandler(token auth.Token) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(pathPieces, func(w http.ResponseWriter, r *http.Request) {
		c := d.awaitCopy(r)
		if c == nil {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.list) // fails only if the peer has disconnected
	}).Methods(http.MethodGet)
	r.HandleFunc(pathPiece, d.servePiece).Methods(http.MethodGet)
	return token.Require(r)
}

func (d *Daemon) copyFor(r *http.Request) *versionCopy {
	version, err := strconv.ParseUint(mux.Vars(r)["version"], 10, 64)
	if err != nil {
		return nil
	}
	return d.store.get(version)
}

// awaitCopy returns the copy of the version that a request names. It waits up to listWait,
// since this stager may learn of a version slightly later than the requesting one, and then
// returns nil.
func (d *Daemon) awaitCopy(r *http.Request) *versionCopy {
	for end := time.Now().Add(listWait); ; {
		c := d.copyFor(r)
		if c != nil || time.Now().After(end) || !sleep(r.Context(), copyPollInterval) {
			return c
		}
	}
}

// servePiece sends a piece, or 404 without waiting if this stager does not have it.
func (d *Daemon) servePiece(w http.ResponseWriter, r *http.Request) {
	c := d.copyFor(r)
	piece, err := strconv.Atoi(mux.Vars(r)["piece"])
	if c == nil || err != nil || piece < 0 || piece >= len(c.pieces) {
		http.NotFound(w, r)
		return
	}
	data := c.get(piece)
	if data == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	d.upload(r.Context(), w, data)
}

// upload sends a piece. Uploads are limited to less than the rate of the link, which they
// share with the engine's answers: otherwise an answer would wait behind pieces for
// seconds.
func (d *Daemon) upload(ctx context.Context, w http.ResponseWriter, data []byte) {
	select {
	case d.uploads <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-d.uploads }()
	for part := range slices.Chunk(data, uploadWriteSize) {
		if d.uploadRate.WaitN(ctx, len(part)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return // the peer has disconnected
		}
	}
}

// copyPollInterval is the time between two checks of awaitCopy.
const copyPollInterval = 50 * time.Millisecond

// getFromPeer sends a GET request to another stager. The request is cancelled if no data
// arrives for the duration stall.
func (d *Daemon) getFromPeer(ctx context.Context, address, path string, limit int64, stall time.Duration) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(stall, cancel)
	defer stalled.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+d.opts.Token.Secret())
	response, err := d.peers.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNotHeld, response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(progressReader{response.Body, func() { stalled.Reset(stall) }}, limit))
}

// progressReader calls onProgress after each read that returns data.
type progressReader struct {
	io.Reader
	onProgress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}

func (d *Daemon) fetchPeerList(ctx context.Context, address string, version uint64) (protocol.PieceList, error) {
	data, err := d.getFromPeer(ctx, address, fmt.Sprintf("/pieces/%d", version), maxListBytes, listTimeout)
	if err != nil {
		return protocol.PieceList{}, err
	}
	var list protocol.PieceList
	return list, json.Unmarshal(data, &list)
}

func (d *Daemon) fetchPeerPiece(ctx context.Context, address string, version uint64, piece int) ([]byte, error) {
	return d.getFromPeer(ctx, address, fmt.Sprintf("/pieces/%d/%d", version, piece), maxPieceBytes, peerStallTimeout)
}
