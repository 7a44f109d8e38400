package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/storage"
)

// acceptLimit is how long after the last disk has room again a change may take. A replica that
// had failed tries its disk every diskRetryInterval, and an election takes up to 1.5 s.
const acceptLimit = 3 * time.Second

var errNoSpace = errors.New("no space left on device")

// operationDisk is a disk of which chosen operations fail.
type operationDisk struct {
	storage.OSFiles

	mu      sync.Mutex
	failing map[string]bool // by name of the operation
}

func (d *operationDisk) set(operations ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = map[string]bool{}
	for _, o := range operations {
		d.failing[o] = true
	}
}

func (d *operationDisk) check(operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing[operation] {
		return errNoSpace
	}
	return nil
}

func (d *operationDisk) Create(path string) (*os.File, error) {
	if err := d.check("create"); err != nil {
		return nil, err
	}
	return d.OSFiles.Create(path)
}

func (d *operationDisk) Write(f *os.File, data []byte) (int, error) {
	if err := d.check("write"); err != nil {
		return 0, err
	}
	if err := d.check("partial write"); err != nil {
		n, _ := f.Write(data[:len(data)/2])
		return n, err
	}
	return f.Write(data)
}

func (d *operationDisk) Sync(f *os.File) error {
	if err := d.check("sync"); err != nil {
		return err
	}
	return f.Sync()
}

func (d *operationDisk) Truncate(f *os.File, size int64) error {
	if err := d.check("truncate"); err != nil {
		return err
	}
	return f.Truncate(size)
}

func (d *operationDisk) Rename(from, to string) error {
	if err := d.check("rename"); err != nil {
		return err
	}
	return os.Rename(from, to)
}

func (d *operationDisk) Remove(path string) error {
	if err := d.check("remove"); err != nil {
		return err
	}
	return os.Remove(path)
}

// Guards against a cluster that accepts no changes any more after the disks of its replicas were
// full for a few seconds each, one after another, whatever operation failed.
func TestChangesAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	operations := []string{"write", "partial write", "sync", "create", "truncate", "rename", "remove"}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				disks := map[string]*operationDisk{}
				c := newCluster(t, fourNames...)
				c.change = func(name string, s *Settings, o *Options) {
					disks[name] = &operationDisk{}
					o.Storage.FileOps, o.Storage.SegmentBytes = disks[name], 2000
					s.SnapshotEvery = 5
				}
				c.startAll()
				c.eventually("leader", func() bool { return c.leader() != nil })
				accepted := 0
				submit := func() {
					accepted++
					if answer := c.submit(accepted); answer.Status != "accepted" {
						t.Errorf("note %d: %+v", accepted, answer)
					}
				}
				submit()
				var events []string
				var faults sync.WaitGroup
				ended := make(chan struct{})
				started := time.Now()
				faults.Go(func() {
					defer close(ended)
					for _, i := range append(rng.Perm(len(fourNames)), rng.IntN(len(fourNames))) {
						name := fourNames[i]
						if rng.IntN(2) == 0 {
							if l := c.leader(); l != nil {
								name = l.name
							}
						}
						failing := []string{operations[rng.IntN(3)], operations[rng.IntN(len(operations))]}
						disks[name].set(failing...)
						length := time.Second + time.Duration(rng.IntN(3000))*time.Millisecond
						events = append(events, fmt.Sprintf("%v %s: %v for %v", time.Since(started), name, failing, length))
						time.Sleep(length)
						disks[name].set()
						time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
					}
				})
				for running := true; running; {
					select {
					case <-ended:
						running = false
					case <-time.After(100 * time.Millisecond):
						submit()
					}
				}
				faults.Wait()
				before := time.Now()
				submit()
				if took := time.Since(before); took > acceptLimit {
					t.Errorf("a change took %v after the last disk had room again, at most %v\n%v", took, acceptLimit, events)
				}
				c.waitForRevision(uint64(accepted))
			})
		})
	}
}

// Guards against a replica that ends, again and again, when it is started while its disk is full.
func TestStartWaitsForFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		disk := &operationDisk{}
		c := newCluster(t, fourNames...)
		c.startAll()
		is.Equal(c.submit(1).Status, "accepted")
		name := c.others(c.leader().name)[0].name
		c.daemons[name].kill()
		delete(c.daemons, name)
		disk.set("write")
		time.AfterFunc(3*time.Second, func() { disk.set() })
		before := time.Now()
		s, o := c.settings(name)
		o.Storage.FileOps = disk
		d, err := NewWhenWritable(t.Context(), s, o, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
		is.NoErr(err)
		is.True(time.Since(before) >= 3*time.Second && time.Since(before) <= 3*time.Second+diskRetryInterval)
		is.True(d.replica.View().Raft.Commit >= 1)
		d.dataDir.Close()
		disk.set("write")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = NewWhenWritable(ctx, s, o, &log.Logger{Handler: discard.New(), Level: log.ErrorLevel})
		is.True(errors.Is(err, storage.ErrRetryable))
	})
}
