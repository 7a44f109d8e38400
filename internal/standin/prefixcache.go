package standin

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const cacheBlockBytes = 256

// CacheEvent reports a change of the prefix cache. A gap in the sequence numbers
// means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Type     string `json:"type"` // "stored" or "evicted"
	Block    string `json:"block"`
	AtUnixMs int64  `json:"at_unix_ms"`
}

// prefixCache is an LRU cache of the hashes of prompt prefixes, in blocks of
// cacheBlockBytes. It records an event for each block stored or evicted.
type prefixCache struct {
	limit   int // blocks
	dropNth uint64

	mu     sync.Mutex
	recent *list.List // block hashes, most recently used first
	blocks map[string]*list.Element
	events []CacheEvent // at most maxCacheEvents
	next   uint64
}

const maxCacheEvents = 4096

func newPrefixCache(limit int, dropNth uint64) *prefixCache {
	return &prefixCache{
		limit: limit, dropNth: dropNth,
		recent: list.New(), blocks: map[string]*list.Element{},
	}
}

// use returns the fraction of the prompt that is cached, then caches all its
// complete blocks. The set is part of every hash because cached state is not
// valid for other weights.
func (c *prefixCache) use(set, prompt string, now time.Time) float64 {
	if len(prompt) < cacheBlockBytes {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, prefix := 0, true
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		sum := sha256.Sum256([]byte(set + prompt[:end]))
		block := hex.EncodeToString(sum[:8])
		if e, ok := c.blocks[block]; ok {
			c.recent.MoveToFront(e)
			if prefix {
				hits++
			}
			continue
		}
		prefix = false
		c.blocks[block] = c.recent.PushFront(block)
		c.publish("stored", block, now)
	}
	for c.recent.Len() > c.limit {
		oldest := c.recent.Remove(c.recent.Back()).(string)
		delete(c.blocks, oldest)
		c.publish("evicted", oldest, now)
	}
	return float64(hits*cacheBlockBytes) / float64(len(prompt))
}

// publish appends an event, or drops it if it is a multiple of dropNth. When the
// buffer is full, it discards the older half.
func (c *prefixCache) publish(kind, block string, now time.Time) {
	c.next++
	if c.dropNth > 0 && c.next%c.dropNth == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.next, kind, block, now.UnixMilli()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// since returns the events with a sequence number above the given one and a
// timestamp not after before.
func (c *prefixCache) since(sequence uint64, before time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []CacheEvent
	for _, e := range c.events {
		if e.Sequence > sequence && e.AtUnixMs <= before.UnixMilli() {
			found = append(found, e)
		}
	}
	return found
}
