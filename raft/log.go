package raft

import "fmt"

// memoryLog is the in-memory part of the replicated log: the entries after the
// latest snapshot, and some before it so that slightly lagging followers need
// no snapshot.
type memoryLog struct {
	first   uint64 // index of entries[0]
	before  uint64 // term of the entry at first-1
	entries []Entry
	stable  uint64 // highest index on stable storage
}

func (l *memoryLog) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log does not
// hold that term.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index+1 == l.first:
		return l.before, true
	case index < l.first || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first].Term, true
}

// slice returns the entries lo to hi inclusive, up to about maxBytes. It returns
// at least one entry unless the range is empty or compacted.
func (l *memoryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi || lo < l.first {
		return nil
	}
	bytes := 0
	end := lo
	for ; end <= hi; end++ {
		bytes += len(l.entries[end-l.first].Data) + entryOverheadBytes
		if bytes > maxBytes && end > lo {
			break
		}
	}
	return append([]Entry(nil), l.entries[lo-l.first:end-l.first]...)
}

// truncate removes the entry at index and all later ones.
func (l *memoryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.first : index-l.first]
	l.stable = min(l.stable, index-1)
}

// compact removes all entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	if index < l.first {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("compact to index %d: log holds %d to %d", index, l.first, l.last()))
	}
	l.entries = append([]Entry(nil), l.entries[index-l.first+1:]...)
	l.before, l.first = term, index+1
}

// reset empties the log, which then starts after a snapshot at index.
func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{first: index + 1, before: term, stable: index}
}

// upToDate reports whether a log whose last entry has this index and term is at
// least as up-to-date as l, as Raft compares logs in elections.
func (l *memoryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}
