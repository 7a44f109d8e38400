package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/raft"
)

type controlAnswer = control.ProposeResult

const (
	startTimeout = 15 * time.Second
	pollInterval = time.Millisecond
)

// cluster is a set of control daemons in this process.
type cluster struct {
	dir       string
	token     auth.Token
	names     []string
	addresses map[string]string
	every     uint64
	limit     int
	running   map[string]*running
	counts    transport.ByteCounts
}

type running struct {
	*control.Daemon
	cancel context.CancelFunc
	done   chan error
}

func startCluster(dir string, replicas int, snapshotEvery uint64, turnLimit int) (*cluster, error) {
	c := &cluster{dir: dir, addresses: map[string]string{}, every: snapshotEvery, limit: turnLimit, running: map[string]*running{}}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "token")
	if err := os.WriteFile(file, []byte("token-of-the-measurement"), 0o600); err != nil {
		return nil, err
	}
	var err error
	if c.token, err = auth.ReadToken(file); err != nil {
		return nil, err
	}
	for i := range replicas {
		name := fmt.Sprintf("c%d", i+1)
		c.names = append(c.names, name)
		if c.addresses[name], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	for _, name := range c.names {
		if err := c.startOne(name); err != nil {
			return nil, err
		}
	}
	_, err = c.leader()
	return c, err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (c *cluster) startOne(name string) error {
	s := control.DefaultSettings()
	s.Instance, s.Replica, s.Zone, s.Region = name, name, "zone", "region"
	s.SessionListen, s.OperatorListen = c.addresses[name], "127.0.0.1:0"
	s.DataDir, s.Voters, s.SnapshotEvery = filepath.Join(c.dir, name), c.addresses, c.every
	d, err := control.New(s, control.Options{
		ProcessToken: &c.token, OperatorToken: &c.token, MaxBatch: c.limit, ByteCounts: &c.counts,
	}, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Daemon: d, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- d.Run(ctx) }()
	c.running[name] = r
	return nil
}

func (c *cluster) stopOne(name string) {
	r := c.running[name]
	r.cancel()
	<-r.done
	delete(c.running, name)
}

// kill stops a replica without handing over leadership.
func (c *cluster) kill(name string) {
	c.running[name].Kill()
	c.stopOne(name)
}

func (c *cluster) stop() {
	for name := range c.running {
		c.running[name].Kill()
	}
	for _, name := range c.names {
		if c.running[name] != nil {
			c.stopOne(name)
		}
	}
}

func poll(what string, limit time.Duration, f func() bool) error {
	deadline := time.Now().Add(limit)
	for !f() {
		if time.Now().After(deadline) {
			return errors.New("not reached in time: " + what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (c *cluster) leaderName() (string, error) {
	var name string
	err := poll("leader", startTimeout, func() bool {
		var term uint64
		name = ""
		for n, r := range c.running {
			if v := r.Replica().View(); v.Raft.Role == raft.Leader && v.Raft.Term > term {
				name, term = n, v.Raft.Term
			}
		}
		return name != ""
	})
	return name, err
}

func (c *cluster) leader() (*running, error) {
	name, err := c.leaderName()
	return c.running[name], err
}

func (c *cluster) follower() string {
	leader, _ := c.leaderName()
	for _, name := range c.names {
		if name != leader {
			return name
		}
	}
	return ""
}

func (c *cluster) revision() uint64 {
	var revision uint64
	for _, r := range c.running {
		revision = max(revision, r.Replica().View().Catalogue.Revision)
	}
	return revision
}

func (c *cluster) converged(revision uint64) error {
	return poll("convergence", startTimeout, func() bool {
		for _, r := range c.running {
			if r.Replica().View().Catalogue.Revision < revision {
				return false
			}
		}
		return true
	})
}

func (c *cluster) folderSize(name string) int64 {
	var total int64
	_ = filepath.WalkDir(filepath.Join(c.dir, name), func(_ string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		if info, err := d.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

// bytes is the payload sent and received by all replicas.
func (c *cluster) bytes() int64 { return c.counts.Sent.Load() + c.counts.Received.Load() }
