package swarm

// RegionLinkLimiter enforces the region-link rule at the sender. It records the chunks
// sent to other regions and, with RegionLinksOnce, allows each chunk to be sent
// to a region once, to any instance. It is not safe for concurrent use.
type RegionLinkLimiter struct {
	rule    RegionLinks
	region  string
	chunks  int
	regions map[string]Bitmap
}

// NewRegionLinkLimiter returns the rule for a sender in the given region and a manifest
// of n chunks.
func NewRegionLinkLimiter(rule RegionLinks, region string, n int) *RegionLinkLimiter {
	return &RegionLinkLimiter{rule: rule, region: region, chunks: n, regions: map[string]Bitmap{}}
}

// maxRegions bounds memory use, because regions are taken from requests.
const maxRegions = 16

// Allow reports whether the chunk may be sent to a region, and records it as
// sent if so.
func (c *RegionLinkLimiter) Allow(chunk int, to string) bool {
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

// Undo reverts Allow for a chunk that was not transferred completely.
func (c *RegionLinkLimiter) Undo(chunk int, to string) {
	if b := c.regions[to]; b != nil {
		b.Clear(chunk)
	}
}
