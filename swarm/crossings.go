package swarm

// Crossings is a sender's memory of the chunks that it sent to other regions.
// With RegionLinksOnce it refuses to send a chunk to a region twice, whoever
// asks. It is not safe for concurrent use.
type Crossings struct {
	rule    RegionLinks
	region  string
	chunks  int
	regions map[string]Bitmap
}

// NewCrossings returns the memory of a sender in region for n chunks.
func NewCrossings(rule RegionLinks, region string, n int) *Crossings {
	return &Crossings{rule: rule, region: region, chunks: n, regions: map[string]Bitmap{}}
}

// maxRegions bounds the memory for regions named by requests.
const maxRegions = 16

// Allow reports whether the chunk may be sent to a region, and records it.
func (c *Crossings) Allow(chunk int, to string) bool {
	if to == c.region {
		return true
	}
	if c.rule != RegionLinksOnce {
		return false
	}
	b := c.regions[to]
	if b == nil {
		if len(c.regions) == maxRegions {
			return false
		}
		b = NewBitmap(c.chunks)
		c.regions[to] = b
	}
	return b.Set(chunk)
}

// Undo forgets a chunk that was allowed and did not arrive whole.
func (c *Crossings) Undo(chunk int, to string) {
	if b := c.regions[to]; b != nil {
		b.Clear(chunk)
	}
}
