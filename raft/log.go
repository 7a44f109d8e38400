package raft

import "fmt"

// memoryLog is the in-memory part of the replicated log: the entries after the
// latest snapshot, and some before it so that slightly lagging followers need
// no snapshot.
type memoryLog struct {
	firstIndex  uint64 // index of entries[0]
	prevTerm    uint64 // term of the entry at firstIndex-1
	entries     []Entry
	stableIndex uint64 // highest index on stable storage
}

func (l *memoryLog) lastIndex() uint64 { return l.firstIndex + uint64(len(l.entries)) - 1 }

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if the log does not
// hold that term.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index+1 == l.firstIndex:
		return l.prevTerm, true
	case index < l.firstIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.firstIndex].Term, true
}

// slice returns the entries lo to hi inclusive, up to about maxBytes. It returns
// at least one entry unless the range is empty or compacted.
func (l *memoryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi || lo < l.firstIndex {
		return nil
	}
	bytes := 0
	end := lo
	for ; end <= hi; end++ {
		bytes += len(l.entries[end-l.firstIndex].Data) + entryOverheadBytes
		if bytes > maxBytes && end > lo {
			break
		}
	}
	return append([]Entry(nil), l.entries[lo-l.firstIndex:end-l.firstIndex]...)
}

// truncate removes the entry at index and all later ones.
func (l *memoryLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.firstIndex : index-l.firstIndex]
	l.stableIndex = min(l.stableIndex, index-1)
}

// compact removes all entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	if index < l.firstIndex {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("compact to index %d: log holds %d to %d", index, l.firstIndex, l.lastIndex()))
	}
	l.entries = append([]Entry(nil), l.entries[index-l.firstIndex+1:]...)
	l.prevTerm, l.firstIndex = term, index+1
}

// reset empties the log, which then starts after a snapshot at index.
func (l *memoryLog) reset(index, term uint64) {
	*l = memoryLog{firstIndex: index + 1, prevTerm: term, stableIndex: index}
}

// isUpToDate reports whether a log whose last entry has this index and term is
// at least as up-to-date as l, as Raft compares logs in elections.
func (l *memoryLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.lastIndex())
}
