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
	// exchangeInterval is the minimum time between two messages of a tracker to the trackers
	// of another region during a transfer.
	exchangeInterval = 40 * time.Millisecond
	// exchangeRepeat is the time after which a message is sent even if nothing has changed.
	// It is well below the time after which a region counts as silent.
	exchangeRepeat = 200 * time.Millisecond
	// trackersNotified is the number of stagers per region that receive the state of other
	// regions: the first choice of tracker and its successor. The tracker that last sent the
	// state of the region receives it as well.
	trackersNotified = 2
	// trackerRetention is how long a tracker is kept after its last request.
	trackerRetention = 10 * time.Second
	// activeTimeout is how long after its last request a tracker counts as the active tracker
	// of its region, which sends the region's state to the others.
	activeTimeout = 500 * time.Millisecond
	// holdersRefresh is the minimum time between two updates of the stagers that have
	// announced a complete copy.
	holdersRefresh = 250 * time.Millisecond
	// maxHoldersPerMessage limits the pieces whose holders a message lists.
	maxHoldersPerMessage = 32
	// maxPieces limits the number of pieces of a version in a message.
	maxPieces = 1 << 14
)

// tracking is the state of this stager as the tracker of a version.
type tracking struct {
	*tracker.Tracker
	pieces           int
	lastRequest      time.Time // from any stager
	holdersRefreshed time.Time
	sent             map[string]sentState // by region
	received         map[string]receivedState
}

// sentState is the state that was last sent to a region.
type sentState struct {
	state tracker.RegionState
	at    time.Time
}

// receivedState is what the tracker of a region sent last.
type receivedState struct {
	have swarm.Bitmap
	at   time.Time
	from string // address of the tracker that sent it
}

// trackers returns the addresses of a region's stagers in the order in which they take over
// as its tracker. All stagers compute the same order.
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

// peerProcesses returns this stager and the others of its service, except those that are
// draining or have no peer address.
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

// hashName returns a hash that orders stagers independently of the order of their names.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	mixed := h.Sum64()
	mixed ^= mixed >> 32
	return mixed * 0x9e3779b97f4a7c15
}

// trackerFor returns the tracker of a version, and creates it on the first message about the
// version. The caller holds trackMu.
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

// refreshHolders updates a tracker with the stagers that have announced a complete copy, and
// with the regions. The caller holds trackMu.
func (d *Daemon) refreshHolders(version uint64, t *tracking, now time.Time) {
	if now.Sub(t.holdersRefreshed) < holdersRefresh {
		return
	}
	t.holdersRefreshed = now
	var regions, localHolders []string
	remoteHolders := map[string][]string{}
	for _, p := range d.peerProcesses() {
		if !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
		switch {
		case p.WeightsVersion != version:
		case p.Region == d.settings.Region:
			localHolders = append(localHolders, p.PeerAddress)
		default:
			remoteHolders[p.Region] = append(remoteHolders[p.Region], p.PeerAddress)
		}
	}
	t.SetRegions(regions)
	t.SetHolders(localHolders, now)
	for region, holders := range remoteHolders {
		if last, ok := t.received[region]; ok && now.Sub(last.at) < activeTimeout {
			continue // the state from its tracker is more detailed
		}
		// The region may have no active tracker because all of its stagers have completed the
		// version. Use their announcements instead.
		s := tracker.RegionState{Have: swarm.NewBitmap(t.pieces), FetchingFromOrigin: swarm.NewBitmap(t.pieces), Holders: map[int][]string{}}
		for piece := range t.pieces {
			s.Have.Set(piece)
			s.Holders[piece] = []string{holders[piece%len(holders)]}
		}
		t.UpdateRegion(region, s, now)
	}
}

// receive handles a message from another stager or from this one.
func (d *Daemon) receive(m peerMessage) {
	if m.Service != d.settings.Service || m.From == "" || m.Pieces <= 0 || m.Pieces > maxPieces {
		return
	}
	if m.Reply != nil {
		d.handleReply(m)
		return
	}
	if known := d.knownPieces(m.Version); known != 0 && known != m.Pieces {
		return // it would replace the tracker of the version by an empty one
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

// knownPieces returns the number of pieces of a version according to its list or else to the
// routing document, or 0 if this stager has neither.
func (d *Daemon) knownPieces(version uint64) int {
	if c := d.store.get(version); c != nil {
		return len(c.pieces)
	}
	t, _ := d.target()
	return t.pieces
}

func (d *Daemon) reply(version uint64, pieces int, replies []tracker.Reply) {
	for _, r := range replies {
		d.sendPeer(r.Address, peerMessage{Version: version, Pieces: pieces, Reply: &replyMessage{Number: r.Number, Fetches: fetchMessages(r.Fetches)}})
	}
}

// sendPeer sends a message to a stager. A message to this stager is handled directly.
func (d *Daemon) sendPeer(to string, m peerMessage) {
	m.From, m.Service = d.settings.PeerListen, d.settings.Service
	if to == d.settings.PeerListen {
		d.receive(m)
		return
	}
	d.send(to, m)
}

// runTracking calls exchangeRegionStates every exchangeInterval while there are trackers.
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

// exchangeRegionStates drops unused trackers, sends the state of this region to the trackers
// of other regions and sends pending replies.
func (d *Daemon) exchangeRegionStates(now time.Time) {
	type outgoing struct {
		version       uint64
		pieces        int
		region        string
		activeTracker string // address of the tracker that last sent the region's state
		state         tracker.RegionState
		replies       []tracker.Reply
	}
	var out []outgoing
	d.trackMu.Lock()
	for version, t := range d.tracking {
		if now.Sub(t.lastRequest) >= trackerRetention {
			delete(d.tracking, version)
			continue
		}
		if now.Sub(t.lastRequest) >= activeTimeout {
			continue // another stager is the tracker, or all copies are complete
		}
		d.refreshHolders(version, t, now)
		t.Tick(now)
		out = append(out, outgoing{version: version, pieces: t.pieces, replies: t.TakeReplies()})
		for _, region := range d.otherRegions() {
			missing := swarm.NewBitmap(t.pieces)
			for i := range t.pieces {
				if received, ok := t.received[region]; !ok || !received.have.Has(i) {
					missing.Set(i)
				}
			}
			state := t.State(missing, now)
			last, known := t.sent[region]
			if known && sameState(last.state, state) && now.Sub(last.at) < exchangeRepeat {
				continue
			}
			t.sent[region] = sentState{state, now}
			out = append(out, outgoing{version: version, pieces: t.pieces, region: region, activeTracker: t.received[region].from, state: state})
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
		if o.activeTracker != "" && !slices.Contains(to, o.activeTracker) {
			to = append(to, o.activeTracker)
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
			break // the rest follows in later messages
		}
		m.Holders[piece] = holders
	}
	return m
}

// sameState reports whether sending state b after state a is unnecessary. For holders and
// fetches it compares only the numbers of entries.
func sameState(a, b tracker.RegionState) bool {
	return slices.Equal(a.Have, b.Have) && slices.Equal(a.FetchingFromOrigin, b.FetchingFromOrigin) && len(a.Holders) == len(b.Holders) && len(a.FetchesBySource) == len(b.FetchesBySource)
}

// otherRegions returns the regions of other stagers, sorted.
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
