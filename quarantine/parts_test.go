package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const (
	first    quarantine.PartID = 1 // in the prompts of all requests of a caller
	deadly   quarantine.PartID = 2
	neighbor quarantine.PartID = 3 // always sent together with the deadly part
	whole    quarantine.PartID = 100

	source = "organisation"
)

// history applies crashes and sound requests, one per second.
type history struct {
	list *quarantine.PartList
	now  time.Time
	n    int
}

func newHistory() *history {
	return &history{list: quarantine.NewPartList(quarantine.PartConfig{}), now: time.Unix(1e9, 0)}
}

func (h *history) crash(parts ...quarantine.PartID) []quarantine.PartID {
	h.n++
	h.now = h.now.Add(time.Second)
	return h.list.RecordCrash(quarantine.CrashReport{
		Endpoint: fmt.Sprint("e-", h.n), Incarnation: 1, Source: source, PlacedAt: h.now.Add(-200 * time.Millisecond), At: h.now, Parts: parts,
	}, h.now)
}

func (h *history) sound(parts ...quarantine.PartID) {
	h.now = h.now.Add(time.Second)
	h.list.RecordSound(parts, h.now)
}

func (h *history) check(parts ...quarantine.PartID) quarantine.PartVerdict {
	return h.list.Check(parts, source, h.now)
}

// Guards against refusing requests that share a caller's first part with those that crash
// endpoints, and against a part that is never quarantined because each request is new.
func TestOnlyTheCrashingPartIsQuarantined(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		is.True(!h.check(first, deadly, whole+i).Quarantined)
		h.crash(first, deadly, whole+i)
		h.sound(first, whole+50+i)
	}
	v := h.check(first, deadly, whole+9)
	is.True(v.Quarantined)
	is.Equal(v.Part, deadly)
	is.True(v.Until.After(h.now.Add(quarantine.DefaultPartDuration - time.Minute)))
	is.Equal(h.check(first, whole+9), quarantine.PartVerdict{})
}

// Guards against refusing a request with one of two parts that crashed endpoints together,
// before it is known which of them is the cause.
func TestPartsThatCrashTogetherAreRefusedTogether(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		h.crash(deadly, neighbor, whole+i)
	}
	is.True(h.check(deadly, neighbor, whole+9).Quarantined)
	is.Equal(h.check(neighbor, whole+9).Suspects, []quarantine.PartID{neighbor})
	is.Equal(h.check(deadly, whole+9).Suspects, []quarantine.PartID{deadly})
	h.sound(neighbor, whole+9)
	is.True(h.check(deadly, whole+10).Quarantined) // the neighbor is not the cause
	is.Equal(h.check(neighbor, whole+10), quarantine.PartVerdict{})
}

// Guards against quarantining the parts of a request that was sent again after each crash:
// the request as a whole may be the cause.
func TestRepeatedRequestDoesNotQuarantineItsParts(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for range quarantine.DefaultMaxPartCrashes {
		h.crash(first, whole)
	}
	is.True(h.check(first, whole).Quarantined)
	is.True(!h.check(first, whole+1).Quarantined)
	h.crash(first, whole+1) // another request with the part crashes its endpoint
	is.True(h.check(first, whole+2).Quarantined)
}

// Guards against a part that crashes endpoints only from some moment on, for example after
// new weights, and is protected by the sound requests before.
func TestSoundPartBecomesDeadly(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for range 20 {
		h.sound(deadly)
	}
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		h.crash(deadly, whole+i)
	}
	is.True(h.check(deadly, whole+9).Quarantined)
}

// Guards against several requests with the same suspect that crash endpoints at the same
// time, and against serializing the requests of parts that are known to be sound.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.sound(first)
	h.crash(first, deadly, whole)
	is.Equal(h.check(first, deadly, whole+1).Suspects, []quarantine.PartID{deadly})
	is.Equal(h.check(first, whole+1), quarantine.PartVerdict{})
	h.sound(deadly)
	is.Equal(h.check(first, deadly, whole+1), quarantine.PartVerdict{})
}

// Guards against a quarantine that ends in a series of new crashes, and against suspicions
// that never end.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.crash(neighbor, whole)
	h.now = h.now.Add(quarantine.DefaultSuspicionDuration)
	is.Equal(h.check(neighbor), quarantine.PartVerdict{})
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		h.crash(deadly, whole+i)
	}
	duration := quarantine.DefaultPartDuration
	for i := range quarantine.PartID(3) { // each quarantine lasts twice as long as the one before
		h.now = h.now.Add(duration - time.Second)
		is.True(h.check(deadly).Quarantined)
		h.now = h.now.Add(time.Second)
		is.Equal(h.check(deadly).Suspects, []quarantine.PartID{deadly})
		h.list.Expire(h.now)
		h.crash(deadly, whole+10+i)
		duration *= 2
	}
	h.now = h.now.Add(8*duration + time.Second)
	is.Equal(h.check(deadly), quarantine.PartVerdict{})
	h.list.Expire(h.now)
	is.Equal(h.list.Records(h.now), nil)
}

// Guards against a quarantine of the parts of requests whose endpoints fail together, for
// example because they lose power.
func TestEndpointsThatFailTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.sound(first)
	at := h.now.Add(time.Second)
	for i := range quarantine.PartID(40) {
		h.list.RecordCrash(quarantine.CrashReport{
			Endpoint: fmt.Sprint("e-", i), Source: source, PlacedAt: at.Add(-time.Duration(i) * 10 * time.Millisecond), At: at.Add(time.Duration(i%5) * time.Millisecond),
			Parts: []quarantine.PartID{first, 10 + i, whole + i},
		}, at)
	}
	h.now = at.Add(5 * time.Millisecond)
	is.Equal(h.check(first), quarantine.PartVerdict{})
	h.crash(first, whole+90) // one of the first volley, and two more
	h.crash(first, whole+91)
	is.True(h.check(first).Quarantined)
}

// Guards against callers who get the part of another one refused by sending it in requests
// that crash endpoints for another reason.
func TestCrashesOfOneSourceDoNotRefuseOthers(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		h.crash(neighbor, 10+i, whole+i)
	}
	is.True(h.check(neighbor).Quarantined)
	is.Equal(h.list.Check([]quarantine.PartID{neighbor}, "victim", h.now), quarantine.PartVerdict{Suspects: []quarantine.PartID{neighbor}, Repeated: true})
	// A crash under a request of the other source speaks against the part for all.
	h.list.RecordCrash(quarantine.CrashReport{Endpoint: "e", Source: "victim", PlacedAt: h.now, At: h.now.Add(time.Second), Parts: []quarantine.PartID{neighbor}}, h.now.Add(time.Second))
	is.True(h.list.Check([]quarantine.PartID{neighbor}, "third", h.now.Add(time.Second)).Quarantined)
}

// Guards against a refuted record that an entry which has missed the sound request brings
// back, after many requests with other parts.
func TestRefutedRecordStaysRefuted(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.crash(deadly)
	missed := h.list.Records(h.now)[0]
	h.sound(deadly)
	refutedAt := h.now
	for i := range quarantine.PartID(4 * quarantine.DefaultMaxSound) {
		h.list.RecordSound([]quarantine.PartID{whole + i}, h.now.Add(time.Duration(i)*time.Millisecond))
	}
	h.now = h.now.Add(time.Minute)
	quarantined, at := h.list.Merge(missed, h.now)
	is.True(!quarantined)
	is.Equal(at, refutedAt)
	is.Equal(h.check(deadly), quarantine.PartVerdict{})
}

// Guards against a quarantine that is renewed without a new crash, because two lists hold
// its end to be at different times and exchange their records in between.
func TestExchangeAtExpiryDoesNotRenew(t *testing.T) {
	is := is.New(t)
	a, b := newHistory(), newHistory()
	b.now = b.now.Add(2 * time.Millisecond)
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		a.crash(deadly, whole+i)
		b.crash(deadly, whole+i)
	}
	now := a.now.Add(quarantine.DefaultPartDuration + time.Millisecond)
	for range 3 {
		for _, r := range a.list.Records(now) {
			b.list.Merge(r, now)
		}
		for _, r := range b.list.Records(now) {
			a.list.Merge(r, now)
		}
	}
	now = now.Add(2 * time.Millisecond)
	is.True(!a.list.Check([]quarantine.PartID{deadly}, source, now).Quarantined)
	is.True(!b.list.Check([]quarantine.PartID{deadly}, source, now).Quarantined)
	// A refuted record renews nothing either.
	a.list.RecordSound([]quarantine.PartID{deadly}, now)
	a.now = now
	a.crash(deadly, whole+9)
	stale := b.list.Records(now)[0]
	stale.Renewals = 5
	a.list.Merge(stale, a.now)
	is.Equal(a.list.Records(a.now)[0].Renewals, 0)
}

// Guards against callers that fill the memory of an entry with new parts, or that make it
// forget a quarantined one.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	for i := range quarantine.PartID(quarantine.DefaultMaxPartCrashes) {
		h.crash(deadly, whole+i)
	}
	for i := range quarantine.PartID(2 * quarantine.DefaultMaxRecords) {
		h.n++
		at := h.now.Add(time.Millisecond)
		h.list.RecordCrash(quarantine.CrashReport{Endpoint: fmt.Sprint(h.n), PlacedAt: h.now, At: at, Parts: []quarantine.PartID{1000 + 2*i, 1001 + 2*i}}, at)
	}
	is.True(len(h.list.Records(h.now)) <= quarantine.DefaultMaxRecords)
	is.True(h.check(deadly).Quarantined)
}

// Guards against a quarantine of parts whose requests ran on endpoints that crash for
// another reason. Each request is sent up to four times: twice in each of two attempts of
// its caller.
func TestUnrelatedCrashesQuarantineNothing(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHistory()
		for i := range quarantine.PartID(2000) {
			session := quarantine.PartID(10 + random.IntN(80))
			for range 4 {
				if random.IntN(50) != 0 {
					h.sound(first, session, whole+i)
					break
				}
				if parts := h.crash(first, session, whole+i); len(parts) > 0 {
					t.Fatalf("seed %d: parts %v are quarantined", seed, parts)
				}
			}
		}
	}
}

// Guards against entries that decide differently because reports reach them in another
// order, repeatedly, or as records of another entry.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		type report struct {
			crash quarantine.CrashReport
			sound []quarantine.PartID
			began time.Time
		}
		var reports []report
		for i := range rapid.IntRange(1, 12).Draw(t, "reports") {
			at := now.Add(time.Duration(i) * time.Second)
			parts := rapid.SliceOfNDistinct(rapid.Map(rapid.IntRange(1, 5), func(n int) quarantine.PartID { return quarantine.PartID(n) }), 1, 3, rapid.ID).Draw(t, "parts")
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				reports = append(reports, report{sound: parts, began: at})
				continue
			}
			reports = append(reports, report{crash: quarantine.CrashReport{Endpoint: fmt.Sprint("e-", i), PlacedAt: at.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "placed")) * time.Second), At: at, Parts: parts}})
		}
		end := now.Add(time.Minute)
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		apply := func(list []report) *quarantine.PartList {
			l := quarantine.NewPartList(quarantine.PartConfig{SuspicionDuration: time.Hour, MaxCrashes: limit})
			for _, r := range list {
				if r.sound != nil {
					l.RecordSound(r.sound, r.began)
					continue
				}
				l.RecordCrash(r.crash, end)
			}
			return l
		}
		want := apply(reports)
		shuffled := rapid.Permutation(slices.Concat(reports, reports)).Draw(t, "order")
		got := apply(shuffled)
		for _, r := range want.Records(end) {
			got.Merge(r, end)
		}
		for part := quarantine.PartID(1); part <= 5; part++ {
			a, b := want.Check([]quarantine.PartID{part}, "", end), got.Check([]quarantine.PartID{part}, "", end)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("part %d: %v, in another order %v", part, a, b)
			}
		}
	})
}

// Guards against a part that is never quarantined, because engines run more parts than there are records when they crash.
func TestPartIsQuarantinedAmongMoreThanRecords(t *testing.T) {
	for run := range 4 {
		l := quarantine.NewPartList(quarantine.PartConfig{})
		now := time.Now()
		id := func(content ...any) quarantine.PartID {
			return quarantine.NewPartID("part", []byte(fmt.Sprint(content...)))
		}
		crashing := id("crashing ", run)
		crashes := 0
		for !l.Check([]quarantine.PartID{crashing}, "o", now).Quarantined {
			if crashes++; crashes > 12 {
				t.Fatalf("run %d: not quarantined after 12 crashes", run)
			}
			now = now.Add(3 * time.Second)
			for request := range 8 {
				parts := []quarantine.PartID{id(run, " ", crashes, " ", request)}
				for i := range 200 {
					parts = append(parts, id(run, " ", crashes, " ", request, " ", i))
				}
				if request == 0 {
					parts = append(parts, crashing)
				}
				l.RecordCrash(quarantine.CrashReport{Endpoint: fmt.Sprint("e-", crashes), Incarnation: 1, Source: "o", PlacedAt: now.Add(-time.Second), At: now, Parts: parts}, now)
			}
		}
	}
}
