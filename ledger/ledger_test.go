package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbhill/rhubarbhill/release"
)

func note(number int, version string) Command {
	n := release.Note{Number: uint64(number)}
	spec := []release.ModelSpec{{
		Name: "m", Version: version, Manifest: release.DigestOf([]byte(version)), Replicas: &release.Replicas{Role: "quote"},
	}}
	if number == 1 {
		n.Models.Add = spec
	} else {
		n.Models.Change = spec
	}
	return Command{AtMs: int64(number), Note: &SubmitNote{Number: n.Number, Digest: n.Digest(), Canonical: n.Canonical()}}
}

func restored(t *testing.T, l *Ledger) *Ledger {
	t.Helper()
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	second, err := again.Snapshot()
	if err != nil || !bytes.Equal(data, second) {
		t.Fatalf("the snapshot of a restored ledger differs (error: %v)", err)
	}
	return again
}

// Guards against a resent note that gets a different result after hundreds of
// later notes or a snapshot, and against accepting two notes with one number.
func TestNoteIdentityHolds(t *testing.T) {
	is := is.New(t)
	l := New()
	const notes = 600
	for n := 1; n <= notes; n++ {
		is.Equal(l.Apply(note(n, fmt.Sprint("v", n))).Status, StatusAccepted)
	}
	l = restored(t, l)
	for _, n := range []int{1, 2, 299, notes} {
		r := l.Apply(note(n, fmt.Sprint("v", n)))
		is.Equal(r.Status, StatusAccepted)
		is.True(r.Repeated)
		is.Equal(r.Digest, note(n, fmt.Sprint("v", n)).Note.Digest)
		conflicting := l.Apply(note(n, "other"))
		is.Equal(conflicting.Status, StatusConflict)
		is.Equal(conflicting.Digest, r.Digest)
	}
	early := l.Apply(note(notes+2, "x"))
	is.Equal(early.Status, StatusRefused)
	is.Equal(early.Number, uint64(notes+1))
	is.Equal(l.Catalogue().Revision, uint64(notes))
	tampered := note(notes+1, "y")
	tampered.Note.Digest = release.DigestOf([]byte("z"))
	is.Equal(l.Apply(tampered).Status, StatusRefused)
	data, err := l.Snapshot()
	is.NoErr(err)
	t.Logf("snapshot after %d notes: %d bytes", notes, len(data))
	is.True(len(data) < notes*40+2000)
}

func claim(key, owner, content string, at int64) Command {
	return Command{AtMs: at, Claim: &Claim{Organisation: "o", Key: key, Owner: owner, RequestDigest: release.DigestOf([]byte(content))}}
}

func complete(key, owner, outcome string, body []byte, at int64) Command {
	return Command{AtMs: at, Complete: &CompleteClaim{Organisation: "o", Key: key, Owner: owner, Outcome: outcome, Status: 200, Body: body}}
}

// Guards against a second run of a non-idempotent call while the first one runs,
// after it has finished, after a restart, and after its key has expired.
func TestClaimGrantsOneAttempt(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Apply(claim("k", "a", "x", 1)).Status, StatusAccepted)
	is.Equal(l.Apply(claim("k", "a", "x", 2)).Status, StatusAccepted) // same attempt, after a lost reply
	is.Equal(l.Apply(claim("k", "b", "x", 3)).Status, StatusDuplicate)
	is.Equal(l.Apply(claim("k", "b", "y", 3)).Status, StatusConflict)
	is.Equal(l.Apply(complete("k", "b", "done", nil, 4)).Status, StatusRefused)
	is.Equal(l.Apply(complete("k", "a", "done", []byte("first"), 5)).Status, StatusCompleted)
	is.Equal(string(l.Apply(complete("k", "a", "done", []byte("second"), 6)).Complete.Body), "first")
	l = restored(t, l)
	is.Equal(string(l.Apply(claim("k", "c", "x", 7)).Complete.Body), "first")
	is.Equal(l.Apply(claim("k", "c", "x", ClaimRetentionMs)).Status, StatusCompleted)
	is.Equal(l.Apply(claim("k", "c", "x", ClaimRetentionMs+1)).Status, StatusExpired)
	l = restored(t, l)
	is.Equal(l.Apply(claim("k", "c", "x", 90*ClaimRetentionMs)).Status, StatusExpired)
	is.Equal(l.Apply(claim("k", "c", "x", 1)).Status, StatusExpired) // proposed by a leader whose clock is behind
	old := claim("late", "d", "x", 90*ClaimRetentionMs)
	old.Claim.KeyTimeMs = 89 * ClaimRetentionMs
	is.Equal(l.Apply(old).Status, StatusExpired)
	// Released because it did not run: another attempt may claim it.
	is.Equal(l.Apply(claim("r", "a", "x", 0)).Status, StatusAccepted)
	is.Equal(l.Apply(complete("r", "a", "not-run", nil, 0)).Status, StatusAccepted)
	is.Equal(l.Apply(claim("r", "b", "x", 0)).Status, StatusAccepted)
}

// Guards against memory that grows with the number of keys ever used, and against
// admitting an expired key once its hash has moved into the Bloom filter.
func TestExpiredKeysStayRefusedInBoundedMemory(t *testing.T) {
	is := is.New(t)
	k := newClaims()
	const keys = maxExpiredHashes + 5000
	hash := func(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c15 } // spread over the range as digests are
	for i := range keys {
		k.addExpired(hash(i))
	}
	is.Equal(len(k.expired), maxExpiredHashes)
	for i := 0; i < keys; i += 997 {
		is.True(k.isExpired(hash(i)))
	}
	is.True(!k.isExpired(keyHash(claimKey{"o", "never used"})))
	l := New()
	for i := range 40 * releasedSlack {
		l.Apply(claim("same", fmt.Sprint(i), "x", 1))
		l.Apply(complete("same", fmt.Sprint(i), "not-run", nil, 1))
	}
	is.True(len(l.claims.order) <= 2*releasedSlack)
	for i := range 2 * maxBodyBytes / MaxResultBytes {
		l.Apply(claim(fmt.Sprint("b", i), "a", "x", 1))
		l.Apply(complete(fmt.Sprint("b", i), "a", "done", make([]byte, MaxResultBytes), 1))
	}
	is.True(l.Sizes().ResultBytes <= maxBodyBytes)
	is.Equal(l.Apply(claim("b0", "c", "x", 1)).Status, StatusCompleted)
}

func crash(incident, endpoint string, alone bool, at int64, fingerprints ...string) Command {
	return Command{AtMs: at, Crash: &ReportCrash{Incident: incident, Endpoint: endpoint, Exclusive: alone, Fingerprints: fingerprints}}
}

func quarantined(l *Ledger, fingerprint string, at int64) bool {
	for _, q := range l.Suspects(at) {
		if q.Fingerprint == fingerprint {
			return q.Quarantined
		}
	}
	return false
}

// Guards against a request that crashes a third endpoint, against counting a
// report twice, and against a cleared neighbour that stays suspected.
func TestSuspectsAndQuarantine(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Apply(crash("i1", "e1", false, 1, "bad", "neighbour"))
	is.Equal(l.Apply(crash("i1", "e1", false, 2, "bad", "neighbour")).Status, StatusDuplicate)
	is.Equal(len(l.Suspects(2)), 2)
	is.True(!quarantined(l, "bad", 2))
	is.Equal(l.Apply(Command{AtMs: 3, Clear: &ClearSuspect{Fingerprint: "neighbour"}}).Status, StatusAccepted)
	is.Equal(len(l.Suspects(3)), 1)
	l = restored(t, l)
	l.Apply(crash("i2", "e2", false, 4, "bad"))
	is.True(quarantined(l, "bad", 4)) // crashed a second endpoint
	is.Equal(l.Apply(Command{AtMs: 5, Clear: &ClearSuspect{Fingerprint: "bad"}}).Status, StatusRefused)
	l.Apply(crash("i3", "e3", true, 6, "alone"))
	is.True(quarantined(l, "alone", 6)) // crashed an endpoint during an exclusive run
	is.True(quarantined(l, "bad", 4+QuarantineMs-1))
	is.True(!quarantined(l, "bad", 4+QuarantineMs))
	before := l.QuarantineVersion()
	l.Apply(Command{AtMs: 7 + QuarantineMs, Clear: &ClearSuspect{Fingerprint: "x"}})
	is.Equal(len(l.suspects.held), 0)
	is.True(l.QuarantineVersion() > before)
	var flood []string
	for i := range maxIncidentFingerprints {
		flood = append(flood, fmt.Sprint(i))
	}
	l.Apply(crash("q", "e", true, 8+QuarantineMs, "kept"))
	for i := range 4 {
		for j := range flood {
			flood[j] = fmt.Sprint(i, "-", j)
		}
		l.Apply(crash(fmt.Sprint("f", i), "e", false, 8+QuarantineMs, flood...))
	}
	is.Equal(len(l.suspects.held), maxSuspects)
	is.True(quarantined(l, "kept", 9+QuarantineMs))
}

// Guards against replicas that diverge: the same commands must give the same
// results and state, with or without snapshots in between.
func TestApplyIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		at := int64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			at += rapid.Int64Range(-1000, ClaimRetentionMs/3).Draw(t, "later")
			var c Command
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				c = note(rapid.IntRange(1, 5).Draw(t, "number"), names.Draw(t, "version"))
			case 1:
				c = claim(names.Draw(t, "key"), names.Draw(t, "owner"), "x", 0)
			case 2:
				c = complete(names.Draw(t, "key"), names.Draw(t, "owner"), rapid.SampledFrom([]string{"done", "not-run"}).Draw(t, "outcome"), nil, 0)
			case 3:
				c = crash(fmt.Sprint(i), names.Draw(t, "endpoint"), false, 0, names.Draw(t, "fingerprint"))
			case 4:
				c = Command{Clear: &ClearSuspect{Fingerprint: names.Draw(t, "fingerprint")}}
			}
			c.AtMs = at
			x, _ := snapshotEncMode.Marshal(a.Apply(c))
			y, _ := snapshotEncMode.Marshal(b.Apply(c))
			if !bytes.Equal(x, y) {
				t.Fatalf("results differ: %x, %x", x, y)
			}
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
		}
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatal("states differ")
		}
	})
}

// Guards against snapshots and commands that make a replica panic.
func FuzzRestoreAndDecode(f *testing.F) {
	l := New()
	l.Apply(note(1, "v"))
	l.Apply(claim("k", "a", "x", 1))
	data, err := l.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	command, err := Encode(note(2, "w"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(command)
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := Decode(data); err == nil {
			New().Apply(c)
		}
		if l, err := Restore(data); err == nil {
			l.Apply(claim("k", "b", "x", 1<<40))
			if _, err := l.Snapshot(); err != nil && !strings.Contains(err.Error(), "cbor") {
				t.Fatal(err)
			}
		}
	})
}
