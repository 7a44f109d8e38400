package control

import (
	"sync"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/membership"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	// membersFlushInterval is the pause after a flush of the member table, in
	// which changes are collected and sent together.
	membersFlushInterval = 50 * time.Millisecond
	expireInterval       = 250 * time.Millisecond
	// minPushInterval is the shortest time between two pushes of the catalogue.
	// The first note after a pause is pushed at once. The notes of a burst are
	// pushed together, since each push to 800 agents costs a replica tens of
	// milliseconds.
	minPushInterval = 100 * time.Millisecond
)

// subscriber is a session that receives updates.
type subscriber struct {
	session  *transport.Session
	revision uint64 // catalogue revision sent
	// table is the member table that the subscriber receives; nil if it asked
	// for the catalogue only.
	table             *membership.Table[wire.Announce]
	membersVersion    uint64 // version of table sent
	quarantineVersion uint64 // version of the quarantine list sent
}

// hub holds the member table and the subscribers.
type hub struct {
	mu    sync.Mutex
	epoch uint64
	table *membership.Table[wire.Announce]
	// peerTable holds the same members for agents, which do not need changes of
	// load and readiness: with 800 endpoints those alone exceed an agent's
	// budget of 6 KB/s.
	peerTable     *membership.Table[wire.Announce]
	loads         loads
	encodedTables map[*membership.Table[wire.Announce]]encodedTable
	subscribers   map[*transport.Session]*subscriber
	view          func() *View
	onAnnounce    func(wire.Announce, time.Time)
	tableChanged  chan struct{} // the member table changed
	viewChanged   chan struct{} // a new view was published
}

func newHub(view func() *View) *hub {
	epoch := uint64(time.Now().UnixNano())
	return &hub{
		epoch: epoch, view: view, tableChanged: make(chan struct{}, 1), viewChanged: make(chan struct{}, 1),
		subscribers: map[*transport.Session]*subscriber{}, loads: newLoads(),
		encodedTables: map[*membership.Table[wire.Announce]]encodedTable{},
		table:         membership.New(membership.Config[wire.Announce]{Epoch: epoch, Significant: changedForEntries}),
		peerTable:     membership.New(membership.Config[wire.Announce]{Epoch: epoch, Significant: changedForPeers}),
	}
}

// changedForEntries reports whether all entries need an announcement. A change
// of load alone is sent only to the entries that use the endpoint.
func changedForEntries(previous, next membership.Record[wire.Announce]) bool {
	a, b := previous.Report, next.Report
	if a.Ready != b.Ready || a.Capacity != b.Capacity || a.Confirmed != b.Confirmed ||
		a.GateAddress != b.GateAddress || a.ChunkAddress != b.ChunkAddress || a.Role != b.Role ||
		len(a.Sets) != len(b.Sets) || !a.Crash.SameIncident(b.Crash) {
		return true
	}
	for i := range a.Sets {
		if a.Sets[i] != b.Sets[i] {
			return true
		}
	}
	return false
}

// changedForPeers reports whether agents, which fetch weights from each other,
// need an announcement.
func changedForPeers(previous, next membership.Record[wire.Announce]) bool {
	a, b := previous.Report, next.Report
	return a.ChunkAddress != b.ChunkAddress || a.Role != b.Role || a.Kind != b.Kind ||
		a.Region != b.Region || a.Zone != b.Zone
}

// RecordAnnouncement records an announcement of an endpoint.
func (h *hub) RecordAnnouncement(a wire.Announce, now time.Time) {
	h.mu.Lock()
	before := h.table.Version()
	fresh := h.table.Apply(a.Record(), now)
	sent := h.table.Version() != before // sent to all entries, including the load
	before = h.peerTable.Version()
	h.peerTable.Apply(a.Record(), now)
	changed := sent || h.peerTable.Version() != before
	if fresh && h.loads.recordAnnouncement(a, sent) {
		changed = true
	}
	h.mu.Unlock()
	if fresh && h.onAnnounce != nil {
		h.onAnnounce(a, now)
	}
	if changed {
		signal(h.tableChanged)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// NotifyCatalogueChanged schedules a push of the newest view and does not
// block.
func (h *hub) NotifyCatalogueChanged() { signal(h.viewChanged) }

// LiveEndpoints returns the last announcements of the present endpoints.
func (h *hub) LiveEndpoints() []wire.Announce {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := h.table.Live()
	live := make([]wire.Announce, len(records))
	for i, r := range records {
		live[i] = r.Report
	}
	return live
}

// Subscribe starts or restarts the updates to a session.
func (h *hub) Subscribe(s *transport.Session, q wire.Subscribe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sub := &subscriber{session: s, revision: q.Revision}
	h.subscribers[s] = sub
	v := h.view()
	h.sendCatalogue(sub, v, map[uint64][]byte{})
	switch {
	case q.Members && q.Peers:
		sub.table = h.peerTable
	case q.Members:
		sub.table = h.table
	default:
		return
	}
	u := sub.table.Since(q.Epoch, q.Version)
	sub.membersVersion = u.Version
	sendFrame(sub.session, h.membersFrame(sub.table, u))
}

// encodedTable caches the encoding of a full table at a version.
type encodedTable struct {
	version uint64
	frame   []byte
}

// membersFrame encodes an update. The frame of a full table is cached and
// shared: at 800 endpoints it has 100 KB, and 370 entries may connect at once.
func (h *hub) membersFrame(table *membership.Table[wire.Announce], u membership.Update[wire.Announce]) []byte {
	if u.Base != 0 {
		return encodeFrame(wire.MembersFrom(u))
	}
	cached := h.encodedTables[table]
	if cached.frame == nil || cached.version != u.Version {
		cached = encodedTable{u.Version, encodeFrame(wire.MembersFrom(u))}
		h.encodedTables[table] = cached
	}
	return cached.frame
}

// Unsubscribe ends the updates to a session.
func (h *hub) Unsubscribe(s *transport.Session) {
	h.mu.Lock()
	delete(h.subscribers, s)
	h.loads.follow(s, nil)
	h.mu.Unlock()
}

// push sends the newest catalogue to every subscriber that does not have it.
func (h *hub) push() {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.view()
	frames := map[uint64][]byte{}
	for _, sub := range h.subscribers {
		if sub.revision != v.Catalogue.Revision || sub.quarantineVersion != v.QuarantineVersion {
			h.sendCatalogue(sub, v, frames)
		}
	}
}

// sendCatalogue sends a subscriber the catalogue changes that it does not have.
// A failed send closes the session; the subscriber then subscribes again with
// the revision that it holds. The map frames caches the encoded updates of this
// view by the revision that the subscriber holds.
func (h *hub) sendCatalogue(sub *subscriber, v *View, frames map[uint64][]byte) {
	frame, ok := frames[sub.revision]
	if !ok {
		frame = encodeFrame(catalogueSince(sub.revision, v))
		frames[sub.revision] = frame
	}
	sub.revision, sub.quarantineVersion = v.Catalogue.Revision, v.QuarantineVersion
	sendFrame(sub.session, frame)
}

// catalogueSince returns the update from the held revision: a delta if one is
// available, otherwise the full catalogue.
func catalogueSince(held uint64, v *View) wire.Catalogue {
	revision := v.Catalogue.Revision
	msg := wire.Catalogue{Revision: revision, Digest: v.Digest, Quarantined: v.Suspects}
	switch {
	case held == revision && revision != 0:
		msg.Base, msg.Delta = revision, &release.Delta{From: revision, To: revision}
	case v.Delta != nil && v.Delta.To == revision && v.Delta.From == held && held != 0:
		msg.Base, msg.Delta = held, v.Delta
	default:
		catalogue := v.Catalogue
		msg.Full = &catalogue
	}
	return msg
}

// encodeFrame encodes a message once for several sessions: with 370 entries or
// 800 agents, encoding it for each session would cost far more than sending it.
// It returns nil for a message that exceeds the frame size.
func encodeFrame(m wire.Message) []byte {
	frame, err := wire.Encode(m, 0, 0)
	if err != nil {
		return nil
	}
	return frame
}

// sendFrame sends a frame. On failure it closes the session, and the subscriber
// subscribes again.
func sendFrame(s *transport.Session, frame []byte) {
	if frame == nil || s.SendFrame(frame) != nil {
		s.Close()
	}
}

// flush sends changes of members and loads to the sessions that subscribed to
// them.
func (h *hub) flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	type position struct {
		table   *membership.Table[wire.Announce]
		version uint64
	}
	updates := map[position][]byte{}
	for _, sub := range h.subscribers {
		if sub.table == nil || sub.membersVersion == sub.table.Version() {
			continue
		}
		key := position{sub.table, sub.membersVersion}
		frame, ok := updates[key]
		if !ok {
			frame = encodeFrame(wire.MembersFrom(sub.table.Since(h.epoch, sub.membersVersion)))
			updates[key] = frame
		}
		sub.membersVersion = sub.table.Version()
		sendFrame(sub.session, frame)
	}
	h.loads.flush(h.table)
}

// FollowLoads sends a session the load of the listed endpoints, now and on
// every later change.
func (h *hub) FollowLoads(s *transport.Session, endpoints []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads.follow(s, endpoints)
	sendLoads(s, wire.Loads{Changed: h.loads.current(endpoints, h.table)})
}

// checkLoads sends each follower of loads the list of its endpoints that are
// silent.
func (h *hub) checkLoads(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads.sendChecks(h.table, now)
}

// RunPush pushes new catalogues until done is closed. It runs outside the
// replica's loop, which could not acknowledge anything during a push.
func (h *hub) RunPush(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-h.viewChanged:
			h.push()
		}
		if !pause(done, minPushInterval) {
			return
		}
	}
}

// pause waits for d. It returns false if done is closed first.
func pause(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return false
	case <-timer.C:
		return true
	}
}

// Run sends member changes and removes silent endpoints until done is closed.
func (h *hub) Run(done <-chan struct{}) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	check := time.NewTicker(wire.LoadCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-expire.C:
			h.mu.Lock()
			expired := h.table.Expire(now)
			h.peerTable.Expire(now)
			h.loads.removeEndpoints(expired)
			h.mu.Unlock()
			if len(expired) == 0 {
				continue
			}
		case now := <-check.C:
			h.checkLoads(now)
			continue
		case <-h.tableChanged:
		}
		h.flush()
		pause(done, membersFlushInterval)
	}
}
