package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/network/memnet"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/release"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// cluster runs daemons on an in-memory network in virtual time, each with its
// own data directory.
type cluster struct {
	t       *testing.T
	dir     string
	token   auth.Token
	net     *memnet.Network
	names   []string
	session map[string]string
	daemons map[string]*instance
	change  func(name string, s *Settings, o *Options)
}

type instance struct {
	*Daemon
	name string
	stop func()
	kill func()
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), names: names, session: map[string]string{}, daemons: map[string]*instance{}, net: memnet.New(),
	}
	file := filepath.Join(c.dir, "token")
	if err := os.WriteFile(file, []byte("token-of-the-test-cluster"), 0o600); err != nil {
		t.Fatal(err)
	}
	var err error
	if c.token, err = auth.ReadToken(file); err != nil {
		t.Fatal(err)
	}
	for i, name := range names {
		c.session[name] = fmt.Sprintf("10.0.0.%d:1", i+1)
	}
	t.Cleanup(func() {
		for _, d := range c.daemons {
			d.kill()
		}
	})
	return c
}

// settings returns the settings and options of a replica.
func (c *cluster) settings(name string) (Settings, Options) {
	s := DefaultSettings()
	s.Instance, s.Replica, s.Zone, s.Region = name, name, "z", "r"
	s.SessionListen, s.OperatorListen = c.session[name], "operator-"+name
	s.DataDir, s.Voters = filepath.Join(c.dir, name), c.session
	o := Options{Network: c.net.Host(name), ProcessToken: &c.token, OperatorToken: &c.token}
	if c.change != nil {
		c.change(name, &s, &o)
	}
	return s, o
}

func (c *cluster) start(name string) *instance {
	c.t.Helper()
	s, o := c.settings(name)
	d, err := New(s, o, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	i := &instance{Daemon: d, name: name}
	var once sync.Once
	end := func(how func()) {
		once.Do(func() {
			how()
			// Stopping a host in the network closes the listeners of its
			// daemon.
			if err := <-done; err != nil && !errors.Is(err, net.ErrClosed) {
				c.t.Errorf("%s: %v", name, err)
			}
			c.net.Stop(name)
		})
	}
	i.stop = func() { end(cancel) }
	i.kill = func() {
		end(func() {
			c.net.Stop(name)
			d.abort()
			cancel()
		})
	}
	c.daemons[name] = i
	synctest.Wait()
	return i
}

// others returns the running replicas except one.
func (c *cluster) others(name string) []*instance {
	var list []*instance
	for _, n := range c.names {
		if d := c.daemons[n]; d != nil && n != name {
			list = append(list, d)
		}
	}
	return list
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		c.start(name)
	}
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !f() {
		if time.Now().After(deadline) {
			for name, d := range c.daemons {
				data, _ := json.Marshal(d.Status())
				c.t.Logf("%s: %s", name, data)
			}
			c.t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leader returns the leader of the newest term, or nil.
func (c *cluster) leader() *instance {
	var best *instance
	for _, d := range c.daemons {
		if v := d.replica.View(); v.Raft.Role == raft.Leader && (best == nil || v.Raft.Term > best.replica.View().Raft.Term) {
			best = d
		}
	}
	return best
}

func noteText(number int) string {
	action := "change"
	if number == 1 {
		action = "add"
	}
	return fmt.Sprintf("note: %d\nmodels:\n  %s:\n    - name: m\n      version: \"%d\"\n      manifest: sha256:%064d\n      replicas: {role: quote}\n",
		number, action, number, number)
}

// submit submits a note until it gets a final answer.
func (c *cluster) submit(number int) operator.NoteAnswer {
	c.t.Helper()
	doc, err := release.Parse([]byte(noteText(number)))
	if err != nil {
		c.t.Fatal(err)
	}
	var answer operator.NoteAnswer
	c.eventually(fmt.Sprintf("note %d answered", number), func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, answer = l.SubmitNote(ctx, doc)
		return answer.Status != "unknown" && answer.Status != "not-run"
	})
	return answer
}

func (c *cluster) waitForRevision(revision uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("revision %d everywhere", revision), func() bool {
		for _, d := range c.daemons {
			if d.replica.View().Catalogue.Revision != revision {
				return false
			}
		}
		return true
	})
}

// The cluster must form, and must not lose a note when every replica restarts.
func TestNotesSurviveRestartOfAllReplicas(t *testing.T) {
	synctest.Test(t, restartAllReplicas)
}

func restartAllReplicas(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "c1", "c2", "c3", "c4")
	c.startAll()
	for n := 1; n <= 3; n++ {
		is.Equal(c.submit(n).Status, "accepted")
	}
	c.waitForRevision(3)
	for _, d := range c.daemons {
		d.kill()
	}
	c.startAll()
	first := c.submit(2)
	is.Equal(first.Status, "accepted")
	is.True(strings.HasPrefix(string(first.Digest), "sha256:"))
	is.Equal(c.submit(5).Status, "refused")
	is.Equal(c.submit(4).Status, "accepted")
	c.waitForRevision(4)
}

// A resent note must not be tracked and logged as newly accepted.
func TestResentNoteIsNotNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "c1", "c2", "c3")
		c.startAll()
		for _, n := range []int{1, 2, 1} {
			is.New(t).Equal(c.submit(n).Status, "accepted")
		}
		c.waitForRevision(2)
		synctest.Wait()
		for _, d := range c.daemons {
			is.New(t).Equal(len(d.inForce.Report(time.Now())), 2)
		}
	})
}
