package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a resend that evades quarantine because it encodes the same
// request differently, and against equal fingerprints of different requests.
func TestFingerprintIsCanonical(t *testing.T) {
	is := is.New(t)
	print := func(body string) string { return Fingerprint("/v1/chat/completions", []byte(body)) }
	a := print(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	for _, same := range []string{
		`{ "messages": [ {"content":"x","role":"user"} ], "model":"m" }`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"user":"other"}`,
		`{"model":"m","messages":[{"role":"user","content":"\u0078"}],"resume_from_token":4}`,
	} {
		is.Equal(print(same), a)
	}
	for _, other := range []string{
		`{"model":"m2","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{"role":"user","content":"y"}]}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":9007199254740993}`,
	} {
		is.True(print(other) != a)
	}
	is.True(print(`{"max_tokens":9007199254740993}`) != print(`{"max_tokens":9007199254740992}`))
	is.True(print("not JSON") != print("not JSON either"))
	is.True(Fingerprint("/other", []byte("x")) != Fingerprint("/v1", []byte("x")))
}

func FuzzFingerprint(f *testing.F) {
	f.Add([]byte(`{"model":"m","user":"u"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		first, again := Fingerprint("/", body), Fingerprint("/", body)
		if len(first) != 64 || first != again {
			t.Fatalf("fingerprint is not a stable digest: %q, then %q", first, again)
		}
	})
}

// Guards against a suspect that runs twice at once, runs on an endpoint that it
// crashed before, or crashes a third endpoint.
func TestSuspectCrashesTwoEndpointsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(Config{}), epoch
		crashed := map[string]bool{}
		running := "" // the endpoint of the copy that runs, if any
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				v := l.Check("f", now)
				if v.Quarantined || v.Exclusive && !l.TryAcquire("f") {
					return
				}
				if running != "" {
					if v.Exclusive {
						t.Fatal("two copies of a suspect run at once")
					}
					return // not a suspect yet; the model tracks one running copy
				}
				running = rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "endpoint")
				for crashed[running] && v.Exclusive {
					if !slices.Contains(v.Avoid, running) {
						t.Fatalf("endpoint %s crashed and is not in Avoid", running)
					}
					running += "'"
				}
			},
			"end": func(t *rapid.T) {
				if running == "" {
					return
				}
				if rapid.Bool().Draw(t, "crashes") {
					l.RecordCrash("f", running, now)
					crashed[running] = true
				}
				l.Release("f", false)
				running = ""
			},
			"time": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				if now.Sub(epoch) < DefaultDuration && len(crashed) > DefaultMaxCrashes {
					t.Fatalf("more than %d endpoints crashed: %v", DefaultMaxCrashes, crashed)
				}
			},
		})
	})
}

// Guards against a quarantine that does not expire, or that an unrelated cleared
// request lifts, and against crashes that are not counted across sources.
func TestQuarantineExpires(t *testing.T) {
	is := is.New(t)
	l := New(Config{})
	until := epoch.Add(time.Hour)
	l.SetControlRecords([]Record{{Fingerprint: "f", Quarantined: true, Until: until, CrashedEndpoints: []string{"a", "b"}}})
	l.Release("g", true)
	is.Equal(l.Check("f", epoch).Until, until)
	is.True(l.Check("f", until.Add(-1)).Quarantined)
	is.Equal(l.Check("f", until), Verdict{})
	// Crashes reported by control and crashes seen by this entry add up.
	l.SetControlRecords([]Record{{Fingerprint: "h", Until: until, CrashedEndpoints: []string{"a"}}})
	is.True(!l.Check("h", epoch).Quarantined)
	is.True(l.RecordCrash("h", "b", epoch).Quarantined)
	l.Expire(until.Add(time.Hour))
	is.Equal(len(l.local), 0)
}

// Guards against quarantining ordinary requests because an engine cuts answers
// short without crashing.
func TestInterruptedAnswersDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	l := New(Config{})
	for _, endpoint := range []string{"a", "b", "c"} {
		v := l.RecordInterruption("f", endpoint, epoch)
		is.True(v.Exclusive)
		is.True(!v.Quarantined)
	}
	is.Equal(l.Check("f", epoch).Avoid, []string{"a", "b", "c"})
	l.RecordCrash("f", "a", epoch)
	is.True(l.RecordCrash("f", "b", epoch).Quarantined)
}
