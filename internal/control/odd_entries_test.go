package control

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/platform"
)

// Tests of odd check-ins that other writers leave among those of the servers.

// checkIn sends a check-in to a replica, with a change of its text, and returns the status.
func checkIn(d *Daemon, id string, host, sequence int, from, to string) int {
	body := fmt.Sprintf(`{"service":"quote","address":"10.1.0.%d:8080","zone":"a","slots":16,"state":"ready","sequence":%d,"born":1786525768071}`, host, sequence)
	r := httptest.NewRequest("POST", "/instances/"+id+"/heartbeat", strings.NewReader(strings.Replace(body, from, to, 1)))
	w := httptest.NewRecorder()
	platform.RegistryHandler(d).ServeHTTP(w, r)
	return w.Code
}

// Guards against an odd check-in under the identifier of a server after which the later
// check-ins of that server count as late, so that it expires while it checks in.
func TestServerStaysListedAfterOddCheckIn(t *testing.T) {
	for name, change := range map[string][2]string{
		"highest sequence": {`"sequence":2`, `"sequence":18446744073709551615`},
		"huge sequence":    {`"sequence":2`, `"sequence":9007199254740991`},
		"highest start":    {`"born":1786525768071`, `"born":18446744073709551615`},
		"start in ns":      {`"born":1786525768071`, `"born":1786525768071000000`},
		"negative slots":   {`"slots":16`, `"slots":-16`},
		"other type":       {`"slots":16`, `"slots":"16"`},
		"other service":    {`"sequence":2`, `"sequence":1000,"service":"other"`},
		"other address":    {`"sequence":2`, `"sequence":1000,"address":"10.1.0.99:8080"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := &Daemon{fleet: newTestFleet()}
				is.Equal(checkIn(d, "i-1", 1, 1, "", ""), 200)
				is.Equal(checkIn(d, "i-2", 2, 1, "", ""), 200)
				odd := checkIn(d, "i-1", 1, 2, change[0], change[1])
				for sequence := range 3 * maxMissedHeartbeats {
					time.Sleep(time.Second)
					is.Equal(checkIn(d, "i-1", 1, sequence+2, "", ""), 200)
					is.Equal(checkIn(d, "i-2", 2, sequence+2, "", ""), 200)
					d.fleet.removeExpired(time.Now())
					for _, id := range []string{"i-1", "i-2"} {
						r, ok := mergedServers(d.fleet).Get(id)
						is.True(ok) // still listed
						is.Equal(r.Report.Slots, 16)
						is.Equal(r.Incarnation, uint64(1786525768071))
						is.Equal(r.Report.Service, "quote")
						is.Equal(r.Report.Address, map[string]string{"i-1": "10.1.0.1:8080", "i-2": "10.1.0.2:8080"}[id])
					}
				}
				is.True(odd == 400 || odd == 409)
			})
		})
	}
}

// Guards against odd check-ins that make the list of the servers longer than a frame, so that
// no entry or replica can receive it any more.
func TestServerListFitsFrameAfterHugeCheckIns(t *testing.T) {
	is := is.New(t)
	d := &Daemon{fleet: newTestFleet()}
	is.Equal(checkIn(d, "good", 1, 1, "", ""), 200)
	_ = checkIn(d, strings.Repeat("i", 512<<10), 3, 1, "", "")
	for i := range 150 {
		_ = checkIn(d, fmt.Sprint("odd-", i), 2, 1, `"zone":"a"`, `"zone":"`+strings.Repeat("a", 60<<10)+`"`)
	}
	frame := encodeFrame(wire.ServersFrom(mergedServers(d.fleet).Since(d.fleet.epoch, 0)))
	is.True(len(frame) <= wire.MaxFrameBytes)
	_, ok := mergedServers(d.fleet).Get("good")
	is.True(ok)
	is.Equal(len(mergedServers(d.fleet).Live()), 1)
}

// Guards against a contradicting check-in at a replica that knows the server from another
// replica only, and against refusing a server that restarted at another address.
func TestCheckInContradictsOtherReplica(t *testing.T) {
	is := is.New(t)
	d := &Daemon{fleet: newTestFleet()}
	good := server("i-1", 100, 5)
	d.fleet.ApplyShare(new(transport.Session), wire.Share{From: "replica-2", Servers: &wire.Servers{Epoch: 1, Version: 1, Updated: []wire.Server{good}}}, time.Now())
	odd := server("i-1", 100, 1000)
	odd.Address = "10.0.0.99:1"
	is.True(errors.Is(d.CheckIn(odd), ErrContradictory))
	r, ok := mergedServers(d.fleet).Get("i-1")
	is.True(ok)
	is.Equal(r.Report.Address, good.Address)
	odd.Started = 200
	is.NoErr(d.CheckIn(odd))
	r, ok = mergedServers(d.fleet).Get("i-1")
	is.True(ok)
	is.Equal(r.Report.Address, odd.Address)
}
