package stager

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/swarm"
	"github.com/rhubarbhill/rhubarbhill/tracker"
)

const (
	// exchangeInterval is the time between two messages of a tracker to those of other
	// regions, while pieces are on their way.
	exchangeInterval = 40 * time.Millisecond
	// exchangeRepeat is the time after which one is sent though nothing has changed, well
	// within the time in which a region counts as silent.
	exchangeRepeat = 200 * time.Millisecond
	// trackersNotified of each region hear of other regions: the first, and the next, which
	// takes over. The one that spoke for the region last hears of them as well.
	trackersNotified = 2
	// trackerRetention is how long a tracker without asks is kept.
	trackerRetention = 10 * time.Second
	// activeTimeout is how long after its last ask a tracker speaks for its region.
	activeTimeout = 500 * time.Millisecond
	// holdersRefresh is the time between two looks at which stagers are known to be whole.
	holdersRefresh = 250 * time.Millisecond
	// maxHoldersPerMessage bounds the pieces whose holders one message names.
	maxHoldersPerMessage = 32
	// maxPieces bounds the pieces of a version that a message may speak of.
	maxPieces = 1 << 14
)

// tracking is this stager's work as the tracker of a version.
type tracking struct {
	*tracker.Tracker
	pieces           int
	lastRequest      time.Time // by anyone, last
	holdersRefreshed time.Time
	sent             map[string]sentState // by region
	received         map[string]receivedState
}

// sentState is what a region was sentState last.
type sentState struct {
	state tracker.RegionState
	at    time.Time
}

type receivedState struct {
	have swarm.Bitmap
	at   time.Time
	from string // address of the tracker that spoke for it
}

// trackers lists the stagers of a region in the order in which they are asked to be its
// tracker.
func (d *Daemon) trackers(region string) []string {
	var list []wire.Process
	for _, p := range d.peerProcesses() {
		if p.Region == region {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b wire.Process) int {
		return cmp.Or(cmp.Compare(hashName(b.Name), hashName(a.Name)), cmp.Compare(a.Name, b.Name))
	})
	addresses := make([]string, len(list))
	for i, p := range list {
		addresses[i] = p.PeerAddress
	}
	return addresses
}

// peerProcesses lists the stagers of this service that take part, this one included.
func (d *Daemon) peerProcesses() []wire.Process {
	self := d.fleet.Self()
	list := []wire.Process{self}
	for _, p := range d.processes() {
		if p.Service == self.Service && !p.Draining && p.PeerAddress != "" && p.Name != self.Name {
			list = append(list, p)
		}
	}
	return list
}

// hashName orders stagers, in a way that has nothing to do with their names.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}

// trackerFor returns the tracker of a version, which starts with the first message about it.
// The caller holds trackMu.
func (d *Daemon) trackerFor(version uint64, pieces int, now time.Time) *tracking {
	t := d.tracking[version]
	if t == nil || t.pieces != pieces {
		t = &tracking{
			Tracker: tracker.New(tracker.Config{Pieces: pieces, Region: d.settings.Region}, now),
			pieces:  pieces, lastRequest: now, sent: map[string]sentState{}, received: map[string]receivedState{},
		}
		d.tracking[version] = t
		d.log.WithFields(log.Fields{"version": version, "pieces": pieces}).Info("tracking_started")
		signal(d.trackWake)
	}
	d.refreshHolders(version, t, now)
	return t
}

// refreshHolders tells a tracker which stagers are known to be whole, and which regions
// there are. The caller holds trackMu.
func (d *Daemon) refreshHolders(version uint64, t *tracking, now time.Time) {
	if now.Sub(t.holdersRefreshed) < holdersRefresh {
		return
	}
	t.holdersRefreshed = now
	var regions, near []string
	far := map[string][]string{}
	for _, p := range d.peerProcesses() {
		if !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
		switch {
		case p.Holds != version:
		case p.Region == d.settings.Region:
			near = append(near, p.PeerAddress)
		default:
			far[p.Region] = append(far[p.Region], p.PeerAddress)
		}
	}
	t.SetRegions(regions)
	t.SetHolders(near, now)
	for region, holders := range far {
		if heard, ok := t.received[region]; ok && now.Sub(heard.at) < activeTimeout {
			continue // its tracker knows more
		}
		// All of its stagers may be whole, so that it has no tracker.
		s := tracker.RegionState{Have: swarm.NewBitmap(t.pieces), FetchingFromOrigin: swarm.NewBitmap(t.pieces), Holders: map[int][]string{}}
		for piece := range t.pieces {
			s.Have.Set(piece)
			s.Holders[piece] = []string{holders[piece%len(holders)]}
		}
		t.UpdateRegion(region, s, now)
	}
}

// receive handles a message of another stager, or of this one.
func (d *Daemon) receive(m peerMessage) {
	if m.Service != d.settings.Service || m.From == "" || m.Pieces <= 0 || m.Pieces > maxPieces {
		return
	}
	if m.Reply != nil {
		d.handleReply(m)
		return
	}
	now := time.Now()
	d.trackMu.Lock()
	t := d.trackerFor(m.Version, m.Pieces, now)
	switch {
	case m.Request != nil:
		t.lastRequest = now
		t.HandleRequest(m.Request.request(m.From, m.Pieces), now)
	case m.Region != nil && m.Region.Region != d.settings.Region:
		s := m.Region.state(m.Pieces)
		t.received[m.Region.Region] = receivedState{s.Have, now, m.From}
		t.UpdateRegion(m.Region.Region, s, now)
	}
	replies := t.TakeReplies()
	d.trackMu.Unlock()
	d.reply(m.Version, m.Pieces, replies)
}

func (d *Daemon) reply(version uint64, pieces int, replies []tracker.Reply) {
	for _, r := range replies {
		d.sendPeer(r.Address, peerMessage{Version: version, Pieces: pieces, Reply: &replyMessage{Number: r.Number, Fetches: fetchMessages(r.Fetches)}})
	}
}

// sendPeer sends a message to a stager, which may be this one.
func (d *Daemon) sendPeer(to string, m peerMessage) {
	m.From, m.Service = d.settings.PeerListen, d.settings.Service
	if to == d.settings.PeerListen {
		d.receive(m)
		return
	}
	d.send(to, m)
}

// runTracking does the work of trackers that is due at intervals.
func (d *Daemon) runTracking(ctx context.Context) {
	for {
		d.trackMu.Lock()
		active := len(d.tracking) > 0
		d.trackMu.Unlock()
		if !active {
			select {
			case <-ctx.Done():
				return
			case <-d.trackWake:
			}
		}
		if !sleep(ctx, exchangeInterval) {
			return
		}
		d.exchangeRegionStates(time.Now())
	}
}

// exchangeRegionStates tells the trackers of other regions what this one holds.
func (d *Daemon) exchangeRegionStates(now time.Time) {
	type outgoing struct {
		version uint64
		pieces  int
		region  string
		speaker string // address of the tracker that spoke for the region last
		state   tracker.RegionState
		replies []tracker.Reply
	}
	var out []outgoing
	d.trackMu.Lock()
	for version, t := range d.tracking {
		if now.Sub(t.lastRequest) >= trackerRetention {
			delete(d.tracking, version)
			continue
		}
		if now.Sub(t.lastRequest) >= activeTimeout {
			continue // another stager is the tracker, or all are whole
		}
		d.refreshHolders(version, t, now)
		t.Tick(now)
		out = append(out, outgoing{version: version, pieces: t.pieces, replies: t.TakeReplies()})
		for _, region := range d.otherRegions() {
			lacks := swarm.NewBitmap(t.pieces)
			for i := range t.pieces {
				if heard, ok := t.received[region]; !ok || !heard.have.Has(i) {
					lacks.Set(i)
				}
			}
			state := t.State(lacks, now)
			last, known := t.sent[region]
			if known && sameState(last.state, state) && now.Sub(last.at) < exchangeRepeat {
				continue
			}
			t.sent[region] = sentState{state, now}
			out = append(out, outgoing{version: version, pieces: t.pieces, region: region, speaker: t.received[region].from, state: state})
		}
	}
	d.trackMu.Unlock()
	for _, o := range out {
		d.reply(o.version, o.pieces, o.replies)
		if o.region == "" {
			continue
		}
		m := peerMessage{Version: o.version, Pieces: o.pieces, Region: regionMessageOf(d.settings.Region, o.state)}
		to := d.trackers(o.region)
		to = to[:min(trackersNotified, len(to))]
		if o.speaker != "" && !slices.Contains(to, o.speaker) {
			to = append(to, o.speaker)
		}
		for _, address := range to {
			d.sendPeer(address, m)
		}
	}
}

func regionMessageOf(region string, s tracker.RegionState) *regionMessage {
	m := &regionMessage{Region: region, Have: s.Have, FetchingFromOrigin: s.FetchingFromOrigin, Holders: map[int][]string{}, FetchesBySource: s.FetchesBySource}
	for piece, holders := range s.Holders {
		if len(m.Holders) == maxHoldersPerMessage {
			break // the rest goes with the next messages
		}
		m.Holders[piece] = holders
	}
	return m
}

// sameState reports whether a region would learn nothing new.
func sameState(a, b tracker.RegionState) bool {
	return slices.Equal(a.Have, b.Have) && slices.Equal(a.FetchingFromOrigin, b.FetchingFromOrigin) && len(a.Holders) == len(b.Holders) && len(a.FetchesBySource) == len(b.FetchesBySource)
}

// otherRegions lists the regions of other stagers, in order.
func (d *Daemon) otherRegions() []string {
	var regions []string
	for _, p := range d.peerProcesses() {
		if p.Region != d.settings.Region && !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
	}
	slices.Sort(regions)
	return regions
}
