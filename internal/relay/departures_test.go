package relay

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// Guards against requests to endpoints that have left, which a broker still names because it is
// cut off from the control replicas. The entry knows better, in each way in which it can know.
func TestStaleGrantIsNotUsed(t *testing.T) {
	engine := &routing.Engine{
		Slots: 8, Stride: 5, StepMs: 13.3, PrefillPerSecond: 12700, PrefillChunkTokens: 2048, MeanPromptTokens: 1000, MeanAnswerTokens: 75, Layers: 16,
	}
	for name, c := range map[string]struct {
		leaving     bool
		incarnation uint64 // that the entry knows
		departed    string
		unlisted    bool
		sent        int // requests that reach the endpoint
	}{
		"nothing is known":        {false, 1, "", false, 1},
		"it drains":               {true, 1, "", false, 0},
		"it has deregistered":     {false, 1, "gone", true, 0},
		"it has restarted":        {false, 2, "", false, 0},
		"the entry does not know": {false, 1, "", true, 1}, // a new endpoint that the broker learned of earlier
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gone, other := newServer(t, ok), newServer(t, ok)
			h, url := newEntry(t, gone, other)
			document := testDocument()
			for i := range document.Services {
				document.Services[i].Engine = engine
			}
			table := routing.Compile(document)
			h.fleet = fixedState{table: table, departed: c.departed}
			list := []placement.Endpoint{
				{ID: "gone", Incarnation: 1, Address: gone.listener.Addr().String(), Zone: "near", WeightsVersion: 1},
				{ID: "other", Incarnation: 1, Address: other.listener.Addr().String(), Zone: "far", WeightsVersion: 1},
			}
			// The broker keeps its list while the entry learns what has happened.
			h.dispatcher.slots.update(table, map[string][]placement.Endpoint{"dispatch": list}, []placement.Entry{{Name: "entry-1", Zone: "near"}}, time.Now())
			known := slices.Clone(list)
			known[0].Leaving, known[0].Draining, known[0].Incarnation = c.leaving, c.leaving, c.incarnation
			if c.unlisted {
				known = known[1:]
			}
			h.dispatcher.update(table, map[string][]placement.Endpoint{"dispatch": known}, 1)
			response, _, err := send(t, url, "/safe/look", http.MethodGet, "", nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(gone.count(), c.sent)
			is.Equal(other.count(), 1-c.sent)
		})
	}
}
