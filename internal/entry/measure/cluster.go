package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbhill/rhubarbhill/balancer"
	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/entry"
	"github.com/rhubarbhill/rhubarbhill/internal/entry/entrytest"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	token            = "token-for-measurements"
	model            = "quote-large"
	set              = "sha256:set-one"
	announceInterval = 100 * time.Millisecond
	readyTimeout     = 5 * time.Second
)

// cluster is one fake control, fake gates and two entries.
type cluster struct {
	control  *entrytest.Control
	gates    []*entrytest.Gate
	urls     []string
	registry []*prometheus.Registry
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// options of a cluster.
type options struct {
	policy    balancer.Policy
	queueWait time.Duration
	limits    map[string]entry.OrganisationSettings
	change    func(i int, g *entrytest.Gate)
	service   bool
	commit    time.Duration
}

func newCluster(o options) (*cluster, error) {
	c := &cluster{control: &entrytest.Control{Token: token, CommitDelay: o.commit}}
	c.control.Start()
	for i := range gateCount {
		g := &entrytest.Gate{
			ID: fmt.Sprintf("g%d", i), Zone: "z1", Model: model, Set: set,
			Capacity: gateCapacity, Tokens: tokens, FirstToken: firstToken, PerToken: perToken,
		}
		if o.service {
			g.Service, g.FirstToken, g.Capacity = "orders", 0, 64
		}
		if o.change != nil {
			o.change(i, g)
		}
		c.gates = append(c.gates, g.Start())
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	catalogue := release.NewCatalogue()
	catalogue.Revision = 1
	catalogue.Models[model] = release.Model{Name: model, Version: "1", Role: "quote"}
	c.control.SetCatalogue(catalogue)
	c.announce()
	c.wg.Go(func() { c.announceLoop(ctx) })
	if err := c.startEntries(ctx, o); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) announce() {
	var table []wire.Announce
	for _, g := range c.gates {
		table = append(table, g.Announce())
	}
	c.control.SetMembers(table...)
}

func (c *cluster) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.announce()
		}
	}
}

func (c *cluster) startEntries(ctx context.Context, o options) error {
	secret, err := readToken()
	if err != nil {
		return err
	}
	var listeners []net.Listener
	var peers []entry.Peer
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		peers = append(peers, entry.Peer{Name: fmt.Sprintf("entry-%d", i), Address: l.Addr().String(), Zone: "z1"})
		c.urls = append(c.urls, "http://"+l.Addr().String())
	}
	for i, l := range listeners {
		s := entry.DefaultSettings()
		s.Instance, s.Zone, s.Region, s.Advertise = peers[i].Name, "z1", "r1", peers[i].Address
		s.Controls, s.Entries = []string{c.control.Address()}, peers
		s.AddressTTL, s.QueueWait, s.StallTimeout = entry.Duration(time.Millisecond), entry.Duration(o.queueWait), entry.Duration(400*time.Millisecond)
		s.Organisations = o.limits
		registry := prometheus.NewRegistry()
		c.registry = append(c.registry, registry)
		e := entry.New(entry.Options{
			Settings: s, ProcessToken: secret, CallerToken: secret, Listener: l, Registry: registry, Policy: o.policy,
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		})
		c.wg.Go(func() { _ = e.Run(ctx) })
	}
	return c.awaitReady()
}

func readToken() (auth.Token, error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return auth.Token{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "token")
	if err := os.WriteFile(path, []byte(token), 0o600); err != nil {
		return auth.Token{}, err
	}
	return auth.ReadToken(path)
}

// awaitReady waits until each entry knows the catalogue.
func (c *cluster) awaitReady() error {
	for _, url := range c.urls {
		limit := time.Now().Add(readyTimeout)
		for {
			request, err := http.NewRequest(http.MethodGet, url+"/v1/models", nil)
			if err != nil {
				return err
			}
			request.Header.Set("Authorization", "Bearer "+token)
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", url)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond) // the entries hear of each other
	return nil
}

func (c *cluster) close() {
	c.cancel()
	c.wg.Wait()
	for _, g := range c.gates {
		g.Close()
	}
	c.control.Close()
	client.CloseIdleConnections()
}

// counter sums a metric of all entries over its labels.
func (c *cluster) counter(name string) float64 {
	sum := 0.0
	for _, r := range c.registry {
		families, err := r.Gather()
		if err != nil {
			return 0
		}
		for _, f := range families {
			if f.GetName() == "rhubarb_entry_"+name {
				for _, m := range f.GetMetric() {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}
