package control

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/platform"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// directory is a Daemon that answers with addresses. Its documents are set with accept.
type directory struct {
	*Daemon
	decoded int
	fail    bool
}

func newDirectory(zones map[string]string) *directory {
	d := &directory{Daemon: &Daemon{fleet: newTestFleet(), settings: Settings{Zones: zones}}}
	d.hostRegions = &hostRegions{
		log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		decode: func(source []byte) (*routing.Document, error) {
			d.decoded++
			if d.fail {
				return nil, errors.New("malformed")
			}
			return platform.DecodeRouting(source)
		},
	}
	return d
}

// accept puts a document in force with lists for the host a.example and the only organisation.
func (d *directory) accept(t *testing.T, version uint64, routes, organisation string) {
	t.Helper()
	source := fmt.Sprintf(`{"version": %d, "routes": [
		{"host": "a.example", "path_prefix": "/", "route_type": "safe", "allowed_regions": %s},
		{"host": "b.example", "path_prefix": "/", "route_type": "safe"}],
		"tenants": [{"name": "one", "allowed_regions": %s}]}`, version, routes, organisation)
	compressed, err := routing.Compress([]byte(source))
	is.New(t).NoErr(err)
	d.fleet.view().Routing = ledger.SetRouting{Version: version, Document: compressed}
	d.hostRegions.decodedAt = time.Time{} // longer ago than minDecodeInterval
}

func (d *directory) add(p wire.Process) {
	p.Role = wire.RoleEntry
	if p.Region == "" {
		p.Region = "r" + strings.TrimLeft(p.Name[:1], "abcdefghijklmnopqrstuvwxyz")
	}
	p.Address = p.Name
	d.fleet.RegisterProcess(new(transport.Session), p)
}

// Guards against answers that direct callers to a region that is neither theirs nor allowed while
// another entry is ready, against one address where several are possible, and against a changed
// answer for hosts that are not bound.
func TestAddressesInAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		routes, organisation string
		host, region, zone   string
		gone                 string // entries that are not ready
		draining             string
		want                 string
	}{
		"not bound":                               {routes: `[]`, host: "a.example", region: "r1", want: "1a 1b 2a 3a"},
		"other host":                              {routes: `["r1"]`, host: "b.example", region: "r1", want: "1a 1b 2a 3a"},
		"unknown host":                            {routes: `["r1"]`, host: "c.example", region: "r1", want: "1a 1b 2a 3a"},
		"own region is allowed":                   {routes: `["r1"]`, host: "a.example", region: "r1", want: "1a 1b"},
		"own region and the allowed one":          {routes: `["r2"]`, host: "a.example", region: "r1", want: "1a 1b 2a"},
		"host with port, in capitals":             {routes: `["r2"]`, host: "A.example:8080", region: "r3", want: "2a 3a"},
		"region by the zone of the caller":        {routes: `["r2"]`, host: "a.example", zone: "z1", want: "1a 1b 2a"},
		"unknown region of the caller":            {routes: `["r2"]`, host: "a.example", want: "2a"},
		"own region is not ready":                 {routes: `["r2"]`, host: "a.example", region: "r1", gone: "1a 1b", want: "2a"},
		"one is draining":                         {routes: `["r1"]`, host: "a.example", region: "r1", draining: "1a", want: "1b"},
		"all of the region are draining":          {routes: `["r1"]`, host: "a.example", region: "r1", draining: "1a 1b", want: "1a 1b"},
		"none of the region":                      {routes: `["r1"]`, host: "a.example", region: "r1", gone: "1a 1b", want: "2a 3a"},
		"none is known in the region":             {routes: `["r9"]`, host: "a.example", region: "r8", want: "1a 1b 2a 3a"},
		"organisation":                            {routes: `[]`, organisation: `["r3"]`, host: "a.example", region: "r1", want: "1a 1b 3a"},
		"organisation, other host":                {routes: `["r2"]`, organisation: `["r3"]`, host: "b.example", region: "r1", want: "1a 1b 3a"},
		"organisation and route without a common": {routes: `["r2"]`, organisation: `["r3"]`, host: "a.example", region: "r1", want: "1a 1b"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory(map[string]string{"z1": "r1"})
			for _, entry := range []string{"1a", "1b", "2a", "3a"} {
				d.add(wire.Process{Name: entry, Ready: !strings.Contains(c.gone, entry), Draining: strings.Contains(c.draining, entry)})
			}
			if c.organisation == "" {
				c.organisation = "[]"
			}
			d.accept(t, 1, c.routes, c.organisation)
			addresses, ttl := d.Addresses(c.host, c.zone, c.region)
			is.Equal(strings.Join(addresses, " "), c.want)
			is.Equal(ttl, entryAddressTTL)
		})
	}
}

// Guards against entries whose region is not known, or differs from that of their zone, being named
// to callers of a bound host.
func TestAddressesOfEntriesInUnknownRegions(t *testing.T) {
	is := is.New(t)
	d := newDirectory(map[string]string{"z1": "r1", "z9": ""})
	d.add(wire.Process{Name: "1a", Ready: true})
	d.add(wire.Process{Name: "elsewhere", Region: "r2", Zone: "z1", Ready: true})
	d.add(wire.Process{Name: "unknown", Region: "r1", Zone: "z9", Ready: true})
	d.accept(t, 1, `["r1"]`, `[]`)
	addresses, _ := d.Addresses("a.example", "", "")
	is.Equal(addresses, []string{"1a", "elsewhere"})
}

// Guards against a replica that decodes a document of megabytes for each of hundreds of answers,
// that keeps to an old document, or that fails on a document it cannot decode.
func TestDocumentIsDecodedOncePerVersion(t *testing.T) {
	is := is.New(t)
	d := newDirectory(nil)
	d.add(wire.Process{Name: "1a", Ready: true})
	d.add(wire.Process{Name: "2a", Ready: true})
	answer := func() string {
		addresses, _ := d.Addresses("a.example", "", "r1")
		return strings.Join(addresses, " ")
	}
	is.Equal(answer(), "1a 2a") // no document yet
	d.accept(t, 1, `["r1"]`, `[]`)
	for range 100 {
		is.Equal(answer(), "1a")
	}
	is.Equal(d.decoded, 1)
	d.accept(t, 2, `[]`, `[]`)
	for range 100 {
		is.Equal(answer(), "1a 2a")
	}
	is.Equal(d.decoded, 2)
	d.accept(t, 3, `["r1"]`, `[]`)
	d.hostRegions.decodedAt = time.Now() // another one was decoded a moment ago
	is.Equal(answer(), "1a 2a")
	is.Equal(d.decoded, 2)
	d.hostRegions.decodedAt = time.Now().Add(-minDecodeInterval)
	is.Equal(answer(), "1a")
	d.accept(t, 4, `[]`, `[]`)
	d.fail = true
	for range 100 {
		is.Equal(answer(), "1a") // as by the document before
	}
	is.Equal(d.decoded, 4)
	d.accept(t, 5, `[]`, `[]`)
	d.fail = false
	d.hostRegions.mu.Lock() // another caller decodes it
	is.Equal(answer(), "1a")
	d.hostRegions.mu.Unlock()
	is.Equal(answer(), "1a 2a")
}

// Guards against an answer for another host or region than the caller states.
func TestResolveStatesHostAndLocation(t *testing.T) {
	is := is.New(t)
	d := newDirectory(map[string]string{"z2": "r2"})
	for _, entry := range []string{"1a", "2a", "3a"} {
		d.add(wire.Process{Name: entry, Ready: true})
	}
	d.accept(t, 1, `["r1"]`, `[]`)
	for query, want := range map[string]string{
		"name=a.example&region=r3&zone=z2": `["1a","3a"]`,
		"name=a.example&zone=z2":           `["1a","2a"]`,
		"name=b.example&region=r3&zone=z2": `["1a","2a","3a"]`,
	} {
		w := httptest.NewRecorder()
		platform.DirectoryHandler(d).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/resolve?"+query, nil))
		is.Equal(w.Code, http.StatusOK)
		is.True(strings.Contains(w.Body.String(), `"addresses":`+want))
	}
}

// Guards against a replica that answers as if no document had lists: the decoder and the accepted
// document must reach the answers.
func TestRegionsOfAcceptedDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "v1")
		c.change = func(_ string, _ *Settings, o *Options) { o.Decode = platform.DecodeRouting }
		d := c.start("v1")
		c.eventually("a leader", func() bool { return c.leader() != nil })
		source := []byte(`{"version": 3, "routes": [{"host": "a.example", "path_prefix": "/", "route_type": "safe", "allowed_regions": ["r1"]}]}`)
		is.NoErr(d.ReplaceRouting(t.Context(), &routing.Document{Version: 3, Source: source}))
		c.eventually("the document", func() bool { return d.Replica().View().Routing.Version == 3 })
		names, bound := d.hostRegions.allowed("a.example", d.fleet.view().Routing, time.Now())
		is.True(bound)
		is.Equal(names, []string{"r1"})
	})
}
