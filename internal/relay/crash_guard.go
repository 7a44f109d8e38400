package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const (
	// soundDelay is how long after its first event a stream counts as sound if its
	// endpoint has not crashed. An engine that crashes under a request does so when it
	// begins to write.
	soundDelay = 250 * time.Millisecond
	// maxSuspectParts limits the parts of one request that a crash makes suspect, and so the
	// size of messages.
	maxSuspectParts = 256
	// maxSuspectsSent limits the suspects in a slot request.
	maxSuspectsSent = 8
	// maxCommonParts limits the parts in a message that crashes have in common.
	maxCommonParts = 64
	// suspectExchangeInterval is the interval at which an entry sends its records to
	// another one, drawn at random, in case a report was lost.
	suspectExchangeInterval = time.Second
	// suspectSyncTimeout is how long an entry that has started waits for the records of
	// the others before it takes requests.
	suspectSyncTimeout = 300 * time.Millisecond
	// maxExchangeBytes limits the records in one message; a receiver rejects messages of
	// over 16 KB.
	maxExchangeBytes = 12 << 10
	// maxExchanged limits the records of one exchange. Half of them are those with the most
	// crashes, the others are drawn at random.
	maxExchanged = 64
)

// crashGuard keeps requests that crash endpoints away from them. It adds locking, messages
// and logs to quarantine.PartList.
type crashGuard struct {
	log log.Interface
	// send sends a message to another entry. Messages may be lost.
	send    func(to string, m peerMessage)
	metrics *relayMetrics

	mu     sync.Mutex
	list   *quarantine.PartList
	others []string // names of the other entries
	// syncedBy is when this entry stops waiting for the records of others; zero before the
	// first update.
	syncedBy time.Time
	synced   bool // has the records of another entry, or all of them are starting
	// starting holds the entries that are starting, too.
	starting map[string]bool
}

func newCrashGuard(logger log.Interface, m *relayMetrics, send func(string, peerMessage)) *crashGuard {
	return &crashGuard{log: logger, send: send, metrics: m, list: quarantine.NewPartList(quarantine.PartConfig{}), starting: map[string]bool{}}
}

// partIDs returns the parts of a request that may crash endpoints: the request itself, which
// may be sent again, and the parts of its prompt that other requests may share. A part may
// crash the endpoints of one service or model and be sound at another one.
func partIDs(q *request) []quarantine.PartID {
	service, model := []byte(q.service), []byte(q.call.Model)
	prompt := strings.Join(q.call.PromptParts, ",")
	ids := []quarantine.PartID{quarantine.NewPartID("request", service, model, []byte(q.method), []byte(q.host), []byte(q.target), []byte(prompt), q.body)}
	for _, part := range q.sharedParts() {
		if len(ids) == maxSuspectParts-1 { // the other parts of long prompts count as one
			return append(ids, quarantine.NewPartID("more", service, model, []byte(q.organisation)))
		}
		ids = append(ids, quarantine.NewPartID("part", service, model, []byte(part)))
	}
	return ids
}

// update replaces the other entries. It asks them for their records until one of them
// has answered.
func (g *crashGuard) update(others []string, now time.Time) {
	g.mu.Lock()
	known := len(g.others)
	g.others = others
	if g.syncedBy.IsZero() || !g.synced && known == 0 && len(others) > 0 {
		g.syncedBy = now.Add(suspectSyncTimeout)
	}
	ask := !g.synced && (now.Before(g.syncedBy) || len(others) > known)
	g.mu.Unlock()
	if ask {
		g.broadcast(peerMessage{Suspects: &suspectsMessage{Request: true}})
	}
}

// ready reports whether this entry knows the records of the others, or there is none to
// ask, or none has answered in time. From then on it is ready, also if others start.
func (g *crashGuard) ready(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synced = g.isSynced(now)
	return g.synced
}

// wouldBeReady returns what ready returns, and changes no state.
func (g *crashGuard) wouldBeReady(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSynced(now)
}

// isSynced reports whether the records of other entries are known or need not be waited for. The
// caller holds mu.
func (g *crashGuard) isSynced(now time.Time) bool {
	return g.synced || !g.syncedBy.IsZero() && (len(g.others) == 0 || !now.Before(g.syncedBy))
}

// broadcast sends a message to all other entries.
func (g *crashGuard) broadcast(m peerMessage) {
	g.mu.Lock()
	others := g.others
	g.mu.Unlock()
	for _, name := range others {
		g.send(name, m)
	}
}

// check returns whether and how a request may run now.
func (g *crashGuard) check(q *request, now time.Time) quarantine.PartVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list.Check(q.parts, q.organisation, now)
}

// recordCrash records that an endpoint crashed while it ran a request that was not yet
// proven sound, and reports it to the other entries.
func (g *crashGuard) recordCrash(q *request, c placement.Choice, now time.Time) {
	r := quarantine.CrashReport{
		Endpoint: c.ID, Incarnation: c.Incarnation, Source: q.organisation, PlacedAt: q.placedAt, At: now, Parts: q.parts,
	}
	g.applyCrash(r, q.call.ID, "", now)
	g.broadcast(peerMessage{Crash: newCrashMessage(r, q.call.ID, now)})
}

// applyCrash records a crash that this entry observed, or another one reported.
func (g *crashGuard) applyCrash(r quarantine.CrashReport, request, reporter string, now time.Time) {
	g.mu.Lock()
	quarantined := g.list.RecordCrash(r, now)
	g.mu.Unlock()
	g.log.WithFields(log.Fields{
		"request": request, "endpoint": r.Endpoint, "started": r.Incarnation, "part_ids": formatParts(r.Parts), "reporter": reporter,
	}).Info("crash_recorded")
	g.logQuarantined(quarantined)
}

func (g *crashGuard) logQuarantined(parts []quarantine.PartID) {
	if len(parts) == 0 {
		return
	}
	g.metrics.quarantined.Add(float64(len(parts)))
	g.log.WithField("part_ids", formatParts(parts)).Warn("parts_quarantined")
}

// recordSound records that a request began and did not crash its endpoint. It tells the
// other entries if that clears a suspect.
func (g *crashGuard) recordSound(q *request, began, now time.Time) {
	if cleared := g.applySound(q.parts, began); len(cleared) > 0 {
		g.broadcast(peerMessage{Sound: &soundMessage{Parts: toUint64(cleared), AgeMs: ageMs(began, now)}})
	}
}

// recordRejected records that an endpoint answered a request with a redirect or an error of
// the caller. That clears the request itself, but not its parts: the endpoint may have
// rejected it before it began.
func (g *crashGuard) recordRejected(q *request, at, now time.Time) {
	if cleared := g.applySound(q.parts[:1], at); len(cleared) > 0 {
		g.broadcast(peerMessage{Sound: &soundMessage{Parts: toUint64(cleared), AgeMs: ageMs(at, now)}})
	}
}

func (g *crashGuard) applySound(parts []quarantine.PartID, began time.Time) []quarantine.PartID {
	g.mu.Lock()
	changed := g.list.RecordSound(parts, began)
	g.mu.Unlock()
	if len(changed) > 0 {
		g.log.WithField("part_ids", formatParts(changed)).Info("parts_cleared")
	}
	return changed
}

// lift clears a part, and those that are refused only together with it, at all entries, as
// if a request with them had run soundly now.
func (g *crashGuard) lift(part quarantine.PartID, now time.Time) bool {
	g.mu.Lock()
	parts := g.list.Group(part, now)
	g.mu.Unlock()
	g.broadcast(peerMessage{Sound: &soundMessage{Parts: toUint64(parts)}})
	return len(g.applySound(parts, now)) > 0
}

// records lists the suspect and quarantined parts.
func (g *crashGuard) records(now time.Time) []quarantine.PartRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list.Records(now)
}

// receive handles the reports of another entry. It returns false if the message holds
// none.
func (g *crashGuard) receive(m peerMessage, now time.Time) bool {
	switch {
	case m.Crash != nil:
		g.applyCrash(m.Crash.crashReport(now), m.Crash.RequestID, m.From, now)
	case m.Sound != nil:
		g.applySound(toPartIDs(m.Sound.Parts), ago(m.Sound.AgeMs, now))
	case m.Suspects != nil && m.Suspects.Request:
		g.mu.Lock()
		synced := g.synced
		g.mu.Unlock()
		if !synced {
			g.send(m.From, peerMessage{Suspects: &suspectsMessage{Starting: true}})
			break
		}
		g.sendRecords(m.From, g.records(now), now)
	case m.Suspects != nil && m.Suspects.Starting:
		g.recordStarting(m.From)
	case m.Suspects != nil:
		g.mergeRecords(m.From, m.Suspects.Records, now)
	default:
		return false
	}
	return true
}

// recordStarting records that another entry has just started and has no records to wait for.
func (g *crashGuard) recordStarting(from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.others, from) {
		g.starting[from] = true
	}
	g.synced = g.synced || !slices.ContainsFunc(g.others, func(name string) bool { return !g.starting[name] })
}

// mergeRecords adds the records of another entry. If a sound request has refuted some of
// them, it tells that entry, which has missed it and may refuse sound requests.
func (g *crashGuard) mergeRecords(from string, records []partRecordMessage, now time.Time) {
	var quarantined []quarantine.PartID
	var refuted []peerMessage
	g.mu.Lock()
	for _, r := range records {
		record := r.partRecord(now)
		changed, at := g.list.Merge(record, now)
		if changed {
			quarantined = append(quarantined, record.Part)
		}
		if !at.IsZero() {
			refuted = append(refuted, peerMessage{Sound: &soundMessage{Parts: []uint64{r.Part}, AgeMs: ageMs(at, now)}})
		}
	}
	g.synced = true
	g.mu.Unlock()
	g.logQuarantined(quarantined)
	for _, m := range refuted {
		g.send(from, m)
	}
}

// sampleRecords returns the records for one exchange.
func sampleRecords(records []quarantine.PartRecord) []quarantine.PartRecord {
	if len(records) <= maxExchanged {
		return records
	}
	rest := records[maxExchanged/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return records[:maxExchanged]
}

// sendRecords sends records to another entry, also if there are none.
func (g *crashGuard) sendRecords(to string, records []quarantine.PartRecord, now time.Time) {
	m := &suspectsMessage{}
	bytes := 0
	for _, r := range records {
		encoded := newPartRecordMessage(r, now)
		if bytes += encoded.maxBytes(); bytes > maxExchangeBytes && len(m.Records) > 0 {
			g.send(to, peerMessage{Suspects: m})
			m, bytes = &suspectsMessage{}, encoded.maxBytes()
		}
		m.Records = append(m.Records, encoded)
	}
	g.send(to, peerMessage{Suspects: m})
}

// run exchanges records with other entries until ctx ends.
func (g *crashGuard) run(ctx context.Context) {
	for sleep(ctx, suspectExchangeInterval) {
		now := time.Now()
		g.mu.Lock()
		g.list.Expire(now)
		quarantined, suspect := g.list.Counts(now)
		others := g.others
		g.mu.Unlock()
		g.metrics.suspectParts.WithLabelValues("quarantined").Set(float64(quarantined))
		g.metrics.suspectParts.WithLabelValues("suspect").Set(float64(suspect))
		if quarantined+suspect > 0 && len(others) > 0 {
			g.sendRecords(others[rand.IntN(len(others))], sampleRecords(g.records(now)), now)
		}
	}
}

// maxLoggedParts limits the parts in a log line: callers choose their number.
const maxLoggedParts = 16

// formatParts returns part IDs as they appear in logs and on the admin port, at most
// maxLoggedParts.
func formatParts(parts []quarantine.PartID) []string {
	var list []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		list = append(list, formatPart(part))
	}
	return list
}

func formatPart(part quarantine.PartID) string { return strconv.FormatUint(uint64(part), 16) }

func toUint64(parts []quarantine.PartID) []uint64 {
	list := make([]uint64, len(parts))
	for i, part := range parts {
		list[i] = uint64(part)
	}
	return list
}

func toPartIDs(list []uint64) []quarantine.PartID {
	parts := make([]quarantine.PartID, len(list))
	for i, id := range list {
		parts[i] = quarantine.PartID(id)
	}
	return parts
}
