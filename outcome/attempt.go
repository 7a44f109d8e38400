package outcome

import (
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
)

// ErrInvalidAttemptID is returned when parsing a malformed attempt identifier.
var ErrInvalidAttemptID = errors.New("not an attempt identifier")

const (
	attemptSeparator = "."
	attemptBase      = 36
)

// AttemptID identifies one attempt at running a request. It is unique across
// restarts of the entry that issued it, because it contains the process start.
type AttemptID struct {
	Entry   string // instance name of the entry
	Start   uint64 // process start, nanoseconds since the epoch
	Counter uint64 // number of the attempt since the process start, from 1
}

// String returns the text form, as sent in the Rhubarb-Attempt header.
func (a AttemptID) String() string {
	return a.Entry + attemptSeparator + strconv.FormatUint(a.Start, attemptBase) +
		attemptSeparator + strconv.FormatUint(a.Counter, attemptBase)
}

// ParseAttemptID parses the text form of an identifier. The entry name may contain
// the separator.
func ParseAttemptID(text string) (AttemptID, error) {
	rest, counter, ok := cutLast(text)
	if !ok {
		return AttemptID{}, ErrInvalidAttemptID
	}
	entry, start, ok := cutLast(rest)
	if !ok || entry == "" {
		return AttemptID{}, ErrInvalidAttemptID
	}
	id := AttemptID{Entry: entry}
	var err error
	if id.Start, err = strconv.ParseUint(start, attemptBase, 64); err != nil {
		return AttemptID{}, ErrInvalidAttemptID
	}
	if id.Counter, err = strconv.ParseUint(counter, attemptBase, 64); err != nil {
		return AttemptID{}, ErrInvalidAttemptID
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

// IDGenerator generates the attempt identifiers of one process start. It is safe for
// concurrent use.
type IDGenerator struct {
	entry   string
	start   uint64
	counter atomic.Uint64
}

// NewIDGenerator returns a generator for the entry instance whose process started at
// start, in nanoseconds since the epoch.
func NewIDGenerator(entry string, start uint64) *IDGenerator {
	return &IDGenerator{entry: entry, start: start}
}

// Next returns a new identifier.
func (s *IDGenerator) Next() AttemptID {
	return AttemptID{Entry: s.entry, Start: s.start, Counter: s.counter.Add(1)}
}

// Issued reports whether id was returned by Next of this generator.
func (s *IDGenerator) Issued(id AttemptID) bool {
	return id.Entry == s.entry && id.Start == s.start && id.Counter <= s.counter.Load()
}
