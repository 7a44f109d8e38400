package outcome

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against identifiers that change when formatted and parsed.
func TestAttemptIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := AttemptID{
			Entry: rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "entry"),
			Start: rapid.Uint64().Draw(t, "start"), Counter: rapid.Uint64().Draw(t, "counter"),
		}
		back, err := ParseAttemptID(id.String())
		if err != nil || back != id {
			t.Fatalf("ParseAttemptID(%q) = %v, %v, want %v", id, back, err, id)
		}
	})
}

func FuzzParseAttemptID(f *testing.F) {
	f.Add("entry-1.abc.1")
	f.Fuzz(func(t *testing.T, text string) {
		if id, err := ParseAttemptID(text); err == nil && id.Entry == "" {
			t.Fatalf("ParseAttemptID(%q) accepted an identifier without an entry", text)
		}
	})
}

// Guards against two attempts with the same identifier, and against accepting
// identifiers of other processes.
func TestSourceNeverRepeats(t *testing.T) {
	is := is.New(t)
	s := NewIDGenerator("entry-1", 7)
	a, b := s.Next(), s.Next()
	is.True(a != b)
	is.True(s.Issued(a))
	is.True(!s.Issued(AttemptID{Entry: "entry-1", Start: 6, Counter: 1})) // issued by an earlier process
	is.True(!s.Issued(AttemptID{Entry: "entry-1", Start: 7, Counter: 3})) // not issued yet
	for _, text := range []string{"", "a", "a.b", ".1.1", "a.!.1", "a.1.!"} {
		_, err := ParseAttemptID(text)
		is.Equal(err, ErrInvalidAttemptID)
	}
}
