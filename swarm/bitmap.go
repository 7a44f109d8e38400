package swarm

import "math/bits"

const wordBits = 64

// Bitmap is a set of chunk indexes.
type Bitmap []uint64

// NewBitmap returns an empty bitmap for n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+wordBits-1)/wordBits) }

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return b[i/wordBits]>>(i%wordBits)&1 == 1 }

// Set adds i and reports whether it was missing before.
func (b Bitmap) Set(i int) bool {
	old := b[i/wordBits]
	b[i/wordBits] = old | 1<<(i%wordBits)
	return old != b[i/wordBits]
}

// Clear removes i.
func (b Bitmap) Clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

// Count returns the number of elements.
func (b Bitmap) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}
