package swarm

import (
	"cmp"
	"time"
)

// Objective is the quantity that the scheduler minimises: the time to complete
// a transfer or the bytes fetched from the origin.
type Objective string

// Objectives.
const (
	ObjectiveTime        Objective = "time"
	ObjectiveOriginBytes Objective = "origin-bytes"
)

// RegionLinks is the rule for transfers between regions.
type RegionLinks string

// Rules for transfers between regions.
const (
	// RegionLinksNever forbids transfers between regions: each region fetches
	// its own copy from the origin.
	RegionLinksNever RegionLinks = "never"
	// RegionLinksOnce allows a chunk to be sent over each region link once.
	RegionLinksOnce RegionLinks = "once"
)

// Node is a live instance that takes part in the transfer.
type Node struct {
	ID, Region, Zone string
}

// Config sets the limits of a Scheduler. Zero values take the defaults.
type Config struct {
	Self        Node
	Objective   Objective
	RegionLinks RegionLinks
	// MaxPeers bounds the peers that this instance exchanges state with
	// (default 8). More peers spread chunks faster but cost more messages.
	MaxPeers int
	// PeerFetches bounds concurrent fetches from peers (default 8). More hide
	// round trips, but each chunk arrives, and can be forwarded, later.
	PeerFetches int
	// FetchesPerPeer bounds concurrent fetches from one peer (default 2).
	FetchesPerPeer int
	// UpstreamFetches bounds concurrent fetches from store and origin (default
	// 16 divided by the instances of the region, from 1 to 4, and fewer for
	// small manifests). Regions with equal numbers of fetches get equal shares
	// of the origin's link. With fewer fetches each chunk arrives, and can be
	// forwarded, earlier.
	UpstreamFetches int
	// StallTimeout is the time without progress after which instances other
	// than the designated one fetch a chunk from store or origin. Their number
	// doubles with each further timeout (default 10 s for objective time, 30 s
	// for origin-bytes). A shorter timeout recovers faster from a stuck
	// designated instance, but fetches more copies.
	StallTimeout time.Duration
	// OriginCopies is the total number of copies that may be fetched from the
	// origin, fallback included (default 4 for objective time; for
	// origin-bytes 0.05 above the number that the region-link rule requires).
	// An instance that has used its share of the fallback fetches one chunk
	// per StallTimeout, so that its transfer completes even without any other
	// source.
	OriginCopies float64
	// ReportTimeout is how long the instance waits for the first reports of its
	// peers, and after each change of the list of instances, before it uses
	// the origin (default 1 s). Without it, an instance that joins late or
	// briefly has an incomplete list would fetch chunks that others hold or
	// are fetching.
	ReportTimeout time.Duration
	// HasStore is true if a weight store is configured in addition to the
	// origin.
	HasStore bool
}

const (
	defaultMaxPeers          = 8
	defaultPeerFetches       = 8
	defaultFetchesPerPeer    = 2
	maxUpstreamFetches       = 4
	upstreamFetchesPerRegion = 16
	// upstreamInFlightDivisor limits an instance's concurrent fetches from store
	// and origin to this fraction (1/n) of the chunks it is designated for.
	upstreamInFlightDivisor  = 8
	defaultStallTimeout      = 10 * time.Second
	defaultStallTimeoutBytes = 30 * time.Second
	defaultReportTimeout     = time.Second
	defaultOriginCopies      = 4
	defaultSpareCopies       = 0.05
	// maxStorePause is the longest pause requested by the store for which objective
	// origin-bytes waits. After that it uses the origin.
	maxStorePause = 10 * time.Second
)

func (c *Config) setDefaults() {
	c.Objective = cmp.Or(c.Objective, ObjectiveTime)
	c.RegionLinks = cmp.Or(c.RegionLinks, RegionLinksNever)
	c.MaxPeers = cmp.Or(c.MaxPeers, defaultMaxPeers)
	c.PeerFetches = cmp.Or(c.PeerFetches, defaultPeerFetches)
	c.FetchesPerPeer = cmp.Or(c.FetchesPerPeer, defaultFetchesPerPeer)
	c.ReportTimeout = cmp.Or(c.ReportTimeout, defaultReportTimeout)
	stall := defaultStallTimeout
	if c.Objective == ObjectiveOriginBytes {
		stall = defaultStallTimeoutBytes
	}
	c.StallTimeout = cmp.Or(c.StallTimeout, stall)
}
