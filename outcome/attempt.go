package outcome

import (
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
)

// ErrAttemptID is returned for text that is not an attempt identifier.
var ErrAttemptID = errors.New("not an attempt identifier")

const (
	attemptSeparator = "."
	attemptBase      = 36
)

// AttemptID identifies one attempt at running a request. It is unique across
// restarts, because Start is the process start of the entry that issued it.
type AttemptID struct {
	Entry   string // instance name of the entry
	Start   uint64 // process start, nanoseconds since the epoch
	Counter uint64 // attempts issued since then
}

// String returns the form used in the Rhubarb-Attempt header.
func (a AttemptID) String() string {
	return a.Entry + attemptSeparator + strconv.FormatUint(a.Start, attemptBase) +
		attemptSeparator + strconv.FormatUint(a.Counter, attemptBase)
}

// ParseAttemptID parses the form that String returns. Entry names may contain
// the separator.
func ParseAttemptID(text string) (AttemptID, error) {
	rest, counter, ok := cutLast(text)
	if !ok {
		return AttemptID{}, ErrAttemptID
	}
	entry, start, ok := cutLast(rest)
	if !ok || entry == "" {
		return AttemptID{}, ErrAttemptID
	}
	id := AttemptID{Entry: entry}
	var err error
	if id.Start, err = strconv.ParseUint(start, attemptBase, 64); err != nil {
		return AttemptID{}, ErrAttemptID
	}
	if id.Counter, err = strconv.ParseUint(counter, attemptBase, 64); err != nil {
		return AttemptID{}, ErrAttemptID
	}
	return id, nil
}

func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndex(text, attemptSeparator)
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+len(attemptSeparator):], true
}

// Source issues attempt identifiers of one process start. It is safe for
// concurrent use.
type Source struct {
	entry   string
	start   uint64
	counter atomic.Uint64
}

// NewSource returns a source for the entry instance that started at start,
// nanoseconds since the epoch.
func NewSource(entry string, start uint64) *Source {
	return &Source{entry: entry, start: start}
}

// Next returns an identifier that was never issued before.
func (s *Source) Next() AttemptID {
	return AttemptID{Entry: s.entry, Start: s.start, Counter: s.counter.Add(1)}
}

// Issued reports whether this source's process issued id.
func (s *Source) Issued(id AttemptID) bool {
	return id.Entry == s.entry && id.Start == s.start && id.Counter <= s.counter.Load()
}
