package swarm

import (
	"cmp"
	"time"
)

// Objective is the quantity to minimise.
type Objective string

// Objectives.
const (
	ObjectiveTime        Objective = "time"
	ObjectiveOriginBytes Objective = "origin-bytes"
)

// RegionLinks is the rule for chunks on links between regions.
type RegionLinks string

// Rules for region links.
const (
	// RegionLinksNever keeps chunks off region links: each region takes its
	// own copy from the origin.
	RegionLinksNever RegionLinks = "never"
	// RegionLinksOnce lets a chunk cross each region link at most once.
	RegionLinksOnce RegionLinks = "once"
)

// Node is a live instance that wants the chunks.
type Node struct {
	ID, Region, Zone string
}

// Config sets the limits of a Scheduler. Zero values take the defaults.
type Config struct {
	Self        Node
	Objective   Objective
	RegionLinks RegionLinks
	// MaxPeers bounds the peers that this instance exchanges state with
	// (default 8). More peers spread chunks faster and cost more messages.
	MaxPeers int
	// PeerFetches bounds concurrent fetches from peers (default 8). More hide
	// round trips, and delay the moment at which each chunk can be passed on.
	PeerFetches int
	// FetchesPerPeer bounds concurrent fetches from one peer (default 2).
	FetchesPerPeer int
	// OutsideFetches bounds concurrent fetches from store and origin (default
	// 16 divided by the instances of the region, from 1 to 4, and fewer for
	// small manifests). Regions with
	// equal numbers of fetches get equal shares of the origin's link; fewer
	// fetches let each chunk arrive, and be passed on, earlier.
	OutsideFetches int
	// StallTimeout is the time without progress after which other instances
	// than the designated one take a chunk from outside, twice as many after
	// each further timeout (default 10 s for objective time, 30 s for
	// origin-bytes). Shorter recovers faster from a designated instance that is
	// stuck, and fetches more copies.
	StallTimeout time.Duration
	// OriginCopies is the number of copies that may leave the origin while
	// instances fail over (default 4 for objective time; for origin-bytes 0.05
	// above what the region-link rule forces). Beyond its share an instance
	// takes one chunk per StallTimeout, so that it still ends when it has no
	// other source.
	OriginCopies float64
	// HearTimeout is the wait for first reports of peers, and after each change
	// of the list of instances, before the origin is used (default 1 s). It
	// keeps an instance that joins late, or sees an incomplete list for a
	// moment, from fetching what others hold or fetch.
	HearTimeout time.Duration
	// HasStore is true when a weight store is configured beside the origin.
	HasStore bool
}

const (
	defaultMaxPeers       = 8
	defaultPeerFetches    = 8
	defaultFetchesPerPeer = 2
	maxOutsideFetches     = 4
	outsideFetchesRegion  = 16
	// outsideInFlightParts keeps an instance's fetches from outside below this
	// part of what it takes from there.
	outsideInFlightParts = 8
	stallTimeoutTime     = 10 * time.Second
	stallTimeoutBytes    = 30 * time.Second
	defaultHearTimeout   = time.Second
	originCopiesTime     = 4
	spareCopiesBytes     = 0.05
	// storeWait is how long objective origin-bytes waits for a store that
	// asked for a pause before it turns to the origin.
	storeWait = 10 * time.Second
)

func (c *Config) setDefaults() {
	c.Objective = cmp.Or(c.Objective, ObjectiveTime)
	c.RegionLinks = cmp.Or(c.RegionLinks, RegionLinksNever)
	c.MaxPeers = cmp.Or(c.MaxPeers, defaultMaxPeers)
	c.PeerFetches = cmp.Or(c.PeerFetches, defaultPeerFetches)
	c.FetchesPerPeer = cmp.Or(c.FetchesPerPeer, defaultFetchesPerPeer)
	c.HearTimeout = cmp.Or(c.HearTimeout, defaultHearTimeout)
	stall := stallTimeoutTime
	if c.Objective == ObjectiveOriginBytes {
		stall = stallTimeoutBytes
	}
	c.StallTimeout = cmp.Or(c.StallTimeout, stall)
}
