package fleetclient

import (
	"fmt"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

func testClient() *Client {
	c := New(Config{Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}}, wire.Process{})
	c.table = routing.Compile(&routing.Document{Version: 1, Services: []routing.Service{{Name: "quote"}, {Name: "weights", Origin: "10.0.0.7:1"}}})
	return c
}

func listedIDs(c *Client) []string {
	ids := []string{}
	for _, s := range c.ServerList() {
		ids = append(ids, s.ID)
	}
	slices.Sort(ids)
	return ids
}

// Guards against a check-in for a service that the document does not name, or that has no
// endpoints, and that hides a server at the same address because it started later.
func TestUnknownServiceHidesNoServer(t *testing.T) {
	is := is.New(t)
	c := testClient()
	c.receiveServers("replica-1", wire.Servers{Epoch: 1, Version: 1, Updated: []wire.Server{
		{ID: "i-1", Started: 100, Sequence: 1, Service: "quote", Address: "10.0.0.1:1"},
		{ID: "i-2", Started: 100, Sequence: 1, Service: "quote", Address: "10.0.0.2:1"},
		{ID: "odd-1", Started: 200, Sequence: 1, Service: "no such service", Address: "10.0.0.1:1"},
		{ID: "odd-2", Started: 300, Sequence: 1, Service: "weights", Address: "10.0.0.2:1"},
		{ID: "odd-3", Started: 300, Sequence: 1, Service: "no such service", Address: "10.0.0.3:1"},
	}})
	is.Equal(listedIDs(c), []string{"i-1", "i-2", "odd-3"})
	// The newest server counts as soon as a document names its service.
	c.table = routing.Compile(&routing.Document{Version: 2, Services: []routing.Service{{Name: "quote"}, {Name: "no such service"}}})
	is.Equal(listedIDs(c), []string{"i-2", "odd-1", "odd-3"})
}

// Guards against a replica whose one odd server makes the rest of its list unusable: numbers
// at the ends of their types, several servers at one address, and a server listed twice.
func TestOddServersLeaveListUsable(t *testing.T) {
	is := is.New(t)
	c := testClient()
	odd := []wire.Server{
		{ID: "", Service: "quote"},
		{ID: "odd-1", Started: ^uint64(0), Sequence: ^uint64(0), Service: "quote", Address: "x", Slots: -1 << 63},
		{ID: "odd-2", Started: 1, Service: "quote", Address: "10.0.0.9:0", Slots: 1<<63 - 1, Gone: true, Draining: true},
		{ID: "i-1", Started: 99, Sequence: ^uint64(0), Service: "quote", Address: "10.0.0.9:1"},
	}
	for version := range uint64(5) {
		list := slices.Clone(odd)
		for i := range 3 {
			list = append(list, wire.Server{ID: fmt.Sprint("i-", i), Started: 100, Sequence: version + 1, Service: "quote", Address: fmt.Sprint("10.0.0.", i, ":1")})
		}
		frame, err := wire.Encode(wire.Servers{Epoch: 1, Version: version + 1, Updated: list}, 0, 0)
		is.NoErr(err)
		env, err := wire.Decode(frame)
		is.NoErr(err)
		c.receive("replica-1", env)
		listed := listedIDs(c)
		for i := range 3 {
			is.True(slices.Contains(listed, fmt.Sprint("i-", i)))
		}
	}
}
