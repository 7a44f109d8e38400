package stager

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/protocol"
)

var errDigest = errors.New("piece does not match its digest")

// versionCopy holds the verified pieces of one version. They are kept in memory, since the
// instances have no disk and a version takes 2 MiB.
type versionCopy struct {
	list protocol.PieceList

	mu        sync.Mutex
	pieces    [][]byte
	heldCount int
	completed time.Time       // when the last piece arrived; zero while pieces are missing
	waits     []chan struct{} // closed when the piece is held
}

func newCopy(list protocol.PieceList) *versionCopy {
	c := &versionCopy{list: list, pieces: make([][]byte, len(list.Digests)), waits: make([]chan struct{}, len(list.Digests))}
	if len(list.Digests) == 0 {
		c.completed = time.Now()
	}
	for i := range c.waits {
		c.waits[i] = make(chan struct{})
	}
	return c
}

// matches reports whether data is piece i.
func (c *versionCopy) matches(i int, data []byte) bool {
	sum := sha256.Sum256(data)
	return strings.EqualFold(hex.EncodeToString(sum[:]), c.list.Digests[i])
}

// put stores a piece if it matches its digest, and returns errDigest otherwise.
func (c *versionCopy) put(i int, data []byte) error {
	if !c.matches(i, data) {
		return errDigest
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pieces[i] == nil {
		c.pieces[i] = data
		c.heldCount++
		if c.heldCount == len(c.pieces) {
			c.completed = time.Now()
		}
		close(c.waits[i])
	}
	return nil
}

func (c *versionCopy) get(i int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pieces[i]
}

func (c *versionCopy) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldCount == len(c.pieces)
}

// completedAt returns when the last piece arrived, or the zero time while pieces are
// missing.
func (c *versionCopy) completedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed
}

// store holds the copies of up to maxCopies versions of a model.
type store struct {
	mu     sync.Mutex
	copies map[uint64]*versionCopy
}

// maxCopies limits the versions in memory: the one that the engine holds, which other
// stagers may still fetch, and the one that is being fetched.
const maxCopies = 2

func newStore() *store { return &store{copies: map[uint64]*versionCopy{}} }

func (s *store) get(version uint64) *versionCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[version]
}

// newestComplete returns the newest version other than the given one that is complete, or zero.
func (s *store) newestComplete(except uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest uint64
	for v, c := range s.copies {
		if v != except && c.complete() {
			newest = max(newest, v)
		}
	}
	return newest
}

// add stores a copy and evicts the oldest ones beyond maxCopies.
func (s *store) add(c *versionCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[c.list.Version] = c
	for len(s.copies) > maxCopies {
		oldest := c.list.Version
		for v := range s.copies {
			oldest = min(oldest, v)
		}
		delete(s.copies, oldest)
	}
}

func (s *store) drop(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, version)
}
