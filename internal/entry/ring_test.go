package entry

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/admission"
)

func ringPeers(n, zones int) []Peer {
	var list []Peer
	for i := range n {
		list = append(list, Peer{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("zone-%d", i*zones/n)})
	}
	return list
}

// peersOf returns the peers of an entry whose settings list all entries in random
// order.
func peersOf(self Peer, all []Peer) *peers {
	list := append([]Peer(nil), all...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	s := Settings{Entries: list}
	s.Instance, s.Zone = self.Name, self.Zone
	return newPeers(s, time.Unix(1_000, 0))
}

// Guards against entries that no other entry polls when settings list the entries in
// different orders: they would be in no address list. Also guards against entries
// whose exchange targets do not cover every zone.
func TestEntriesArePolledEvenly(t *testing.T) {
	for _, size := range []struct{ entries, zones, polled int }{
		{1, 1, 0}, {4, 4, 3}, {9, 3, 8}, {12, 3, 8}, {40, 4, 8}, {370, 6, 8}, {40, 40, 8},
	} {
		is := is.New(t)
		all := ringPeers(size.entries, size.zones)
		polledBy := map[string]int{}
		for _, self := range all {
			zones := map[string]bool{self.Zone: true}
			for _, peer := range peersOf(self, all).exchangeTargets() {
				is.True(peer.Name != self.Name)
				polledBy[peer.Name]++
				zones[peer.Zone] = true
			}
			if len(zones) < min(size.zones, size.polled+1) {
				t.Errorf("%d entries, %d zones: %s and those it polls are in %d", size.entries, size.zones, self.Name, len(zones))
			}
		}
		for _, self := range all {
			is.Equal(polledBy[self.Name], size.polled)
		}
	}
}

// Guards against slots that are allocated once per sample of entries, instead of
// once.
func TestSlotsAreDividedOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 4, 9, 12, 40, 370} {
		is := is.New(t)
		const slots = 6400
		all := ringPeers(entries, 4)
		total := 0.0
		for _, self := range all {
			p := peersOf(self, all)
			busy := admission.Report{"org": {InFlight: 10, Waiting: 100}}
			reports := map[string]admission.Report{self.Name: busy}
			for _, peer := range p.exchangeTargets() {
				reports[peer.Name] = busy
			}
			total += admission.Allocate(p.sampledSlots(slots), self.Name, reports, func(string) float64 { return 1 }).Slots
		}
		t.Logf("%d entries take %.0f of %d slots", entries, total, slots)
		is.True(total >= slots-1)
		is.True(total <= slots*1.05)
	}
}

// Guards against an entry that is missing from address lists when there are many
// entries, or remains listed after it stopped.
func TestAddressAnswersNameEveryEntryOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 12
		c := newCluster(t, engineGate("g1"))
		list := c.addEntries(entries)
		time.Sleep(2 * peerExpiry)
		named := func() map[string]int {
			t.Helper()
			times := map[string]int{}
			for _, e := range list {
				var answer addressesResponse
				body := e.do(http.MethodGet, "/v1/addresses", "").body
				c.is.NoErr(json.Unmarshal([]byte(body), &answer))
				c.is.True(len(answer.Addresses) >= maxExchangePeers)
				for _, a := range answer.Addresses {
					times[a.Name]++
				}
			}
			return times
		}
		before := named()
		for _, e := range list {
			c.is.Equal(before[e.settings.Instance], maxExchangePeers+1)
		}
		stopped := list[0]
		list = list[1:]
		stopped.stop()
		c.is.Equal(named()[stopped.settings.Instance], 0)
		c.is.Equal(list[0].do(http.MethodGet, "/v1/models", "").status, http.StatusOK)
	})
}
