package network

import "bytes"

const (
	// headCost is the number of bytes held for each byte of a head: it is buffered and split into
	// strings.
	headCost = 4
	// headLineCost is the number of bytes held for each line of a head, whatever its length: it is
	// entered into a map. Lines of three to five bytes with different names hold 120 bytes each.
	headLineCost = 128
	// smallHeadCost is what a head may take while bodies and other heads use up their share of the
	// budget. Heads of ordinary requests have less than 2 KB in 40 lines, which cost 13 KB.
	smallHeadCost = 16 << 10
)

// headLines finds the lines of a head and its end.
type headLines struct {
	length int  // of the current line
	last   byte // of the current line
	begun  bool // a line that is not empty is complete
	ended  bool // the empty line at the end is complete
}

// count returns the number of lines that end in p, up to the end of the head, and the number of
// bytes beyond it.
func (h *headLines) count(p []byte) (lines, beyond int) {
	for !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.add(p)
			return lines, 0
		}
		h.add(p[:i])
		lines++
		empty := h.length == 0 || h.length == 1 && h.last == '\r'
		h.ended = empty && h.begun // net/http skips empty lines before a request
		h.begun = h.begun || !empty
		h.length = 0
		p = p[i+1:]
	}
	return lines, len(p)
}

func (h *headLines) add(p []byte) {
	if len(p) > 0 {
		h.length += len(p)
		h.last = p[len(p)-1]
	}
}

// costOf returns the bytes held for a part of a head.
func costOf(bytes, lines int) int64 {
	return headCost*int64(bytes) + headLineCost*int64(lines)
}
