// Command measure runs control replicas and fake agents in one process, over
// loopback TCP and real files, and prints what accepting notes costs.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	targetInForce   = 3 * time.Second
	throughputTime  = 2 * time.Second
	pipelineWindow  = 64
	paceNotes       = 10
	paceInterval    = 700 * time.Millisecond // far enough apart that notes do not overlap, as at 3,100 a day
	burstNotes      = 50
	idleTime        = 5 * time.Second
	restartNotes    = 500
	leaderChanges   = 5
	answerTimeout   = 10 * time.Second
	inForceTimeout  = 20 * time.Second
	perDay          = 3100
	snapshotOften   = 100
	snapshotNever   = 1 << 40
	smallFleet      = 19
	designFleet     = 800
	defaultReplicas = 4
	designReplicas  = 5
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "measure-notes")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	started := time.Now()
	if err := measureThroughput(dir); err != nil {
		return err
	}
	if err := measureRestart(dir); err != nil {
		return err
	}
	if err := measureLeaderChange(dir); err != nil {
		return err
	}
	var worst time.Duration
	for _, fleet := range []struct{ agents, replicas int }{{smallFleet, defaultReplicas}, {designFleet, designReplicas}} {
		longest, err := measureInForce(dir, fleet.agents, fleet.replicas)
		if err != nil {
			return err
		}
		worst = max(worst, longest)
	}
	fmt.Printf("run_time_s %.1f\n", time.Since(started).Seconds())
	fmt.Printf("in_force_max_s %.3f target %.0f\n", worst.Seconds(), targetInForce.Seconds())
	if worst > targetInForce {
		return fmt.Errorf("a note took %v to be in force", worst)
	}
	return nil
}

func noteCommand(number uint64) ledger.Command {
	version := fmt.Sprint(number)
	spec := []release.ModelSpec{{
		Name: "quote-large", Version: version, Manifest: release.DigestOf([]byte(version)), Replicas: &release.Replicas{Role: "quote"},
	}}
	n := release.Note{Number: number}
	if number == 1 {
		n.Models.Add = spec
	} else {
		n.Models.Change = spec
	}
	return ledger.Command{Note: &ledger.SubmitNote{Number: number, Digest: n.Digest(), Canonical: n.Canonical()}}
}

// measureThroughput compares one sync for all waiting work with one sync for
// each item.
func measureThroughput(dir string) error {
	for _, mode := range []struct {
		name  string
		limit int
	}{{"group sync", 0}, {"one sync each", 1}} {
		c, err := startCluster(filepath.Join(dir, "throughput-"+fmt.Sprint(mode.limit)), defaultReplicas, snapshotNever, mode.limit)
		if err != nil {
			return err
		}
		one, err := c.notesFor(throughputTime, 1)
		if err != nil {
			return err
		}
		many, err := c.notesFor(throughputTime, pipelineWindow)
		if err != nil {
			return err
		}
		fmt.Printf("accepted_per_s %-14s one_after_another %7.0f  %d_in_flight %7.0f\n", mode.name, one, pipelineWindow, many)
		c.stop()
	}
	return nil
}

// notesFor submits notes for a while with a number of them in flight and
// returns the rate.
func (c *cluster) notesFor(d time.Duration, window int) (float64, error) {
	l, err := c.leader()
	if err != nil {
		return 0, err
	}
	next := l.Replica().View().Catalogue.Revision + 1
	var waiting []<-chan controlAnswer
	accepted := 0
	started := time.Now()
	for time.Since(started) < d || len(waiting) > 0 {
		for len(waiting) < window && time.Since(started) < d {
			waiting = append(waiting, l.Replica().ProposeAsync(noteCommand(next)))
			next++
		}
		if len(waiting) == 0 {
			break
		}
		select {
		case a := <-waiting[0]:
			if a.Status != wire.ProposeCommitted || a.Result.Status != ledger.StatusAccepted {
				return 0, fmt.Errorf("note not accepted: %+v", a)
			}
		case <-time.After(answerTimeout):
			return 0, fmt.Errorf("no answer within %v", answerTimeout)
		}
		waiting = waiting[1:]
		accepted++
	}
	return float64(accepted) / time.Since(started).Seconds(), nil
}

func measureRestart(dir string) error {
	for _, every := range []uint64{snapshotNever, snapshotOften} {
		c, err := startCluster(filepath.Join(dir, fmt.Sprint("restart-", every)), defaultReplicas, every, 0)
		if err != nil {
			return err
		}
		for c.revision() < restartNotes {
			if _, err := c.submit(); err != nil {
				return err
			}
		}
		name := c.follower()
		if err := c.converged(restartNotes); err != nil {
			return err
		}
		size := c.folderSize(name)
		c.stopOne(name)
		started := time.Now()
		if err := c.startOne(name); err != nil {
			return err
		}
		opened := time.Since(started)
		if err := c.converged(restartNotes); err != nil {
			return err
		}
		mode := "without"
		if every == snapshotOften {
			mode = "with"
		}
		fmt.Printf("restart_after_%d_notes %-7s snapshots: opened %5.1f ms, caught up %6.1f ms, folder %d bytes\n",
			restartNotes, mode, ms(opened), ms(time.Since(started)), size)
		c.stop()
	}
	return nil
}

// measureLeaderChange stops the leader without handing over and waits for the
// next accepted note.
func measureLeaderChange(dir string) error {
	c, err := startCluster(filepath.Join(dir, "leader"), defaultReplicas, snapshotNever, 0)
	if err != nil {
		return err
	}
	defer c.stop()
	var elected, accepted []time.Duration
	for range leaderChanges {
		if _, err := c.submit(); err != nil {
			return err
		}
		name, err := c.leaderName()
		if err != nil {
			return err
		}
		c.kill(name)
		started := time.Now()
		if _, err := c.leader(); err != nil {
			return err
		}
		elected = append(elected, time.Since(started))
		if _, err := c.submit(); err != nil {
			return err
		}
		accepted = append(accepted, time.Since(started))
		if err := c.startOne(name); err != nil {
			return err
		}
		if err := c.converged(c.revision()); err != nil {
			return err
		}
	}
	fmt.Printf("new_leader_ms %s  next_note_accepted_ms %s\n", spread(elected), spread(accepted))
	return nil
}

// measureInForce measures the time from the answer "accepted" until every agent
// acts on the note with its lease held.
func measureInForce(dir string, agents, replicas int) (time.Duration, error) {
	c, err := startCluster(filepath.Join(dir, fmt.Sprint("force-", agents)), replicas, snapshotNever, 0)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	fleet := startFleet(c, agents)
	defer fleet.stop()
	if _, err := c.submit(); err != nil {
		return 0, err
	}
	if _, err := fleet.wait(1, inForceTimeout); err != nil {
		return 0, err
	}
	pace, err := c.paced(fleet)
	if err != nil {
		return 0, err
	}
	cpu := processorTime()
	burst, err := c.burst(fleet)
	if err != nil {
		return 0, err
	}
	cpu = processorTime() - cpu
	fmt.Printf("in_force_ms agents %d replicas %d: at %d a day %s  burst of %d %s processor_s %.2f\n",
		agents, replicas, perDay, spread(pace), burstNotes, spread(burst), cpu.Seconds())
	c.measureIdle(fleet)
	return max(slices.Max(pace), slices.Max(burst)), nil
}

func (c *cluster) paced(f *fleet) ([]time.Duration, error) {
	var times []time.Duration
	for range paceNotes {
		number, err := c.submit()
		if err != nil {
			return nil, err
		}
		accepted := time.Now()
		at, err := f.wait(number, inForceTimeout)
		if err != nil {
			return nil, err
		}
		times = append(times, max(0, at.Sub(accepted)))
		time.Sleep(paceInterval)
	}
	return times, nil
}

func (c *cluster) burst(f *fleet) ([]time.Duration, error) {
	accepted := map[uint64]time.Time{}
	var numbers []uint64
	for range burstNotes {
		number, err := c.submit()
		if err != nil {
			return nil, err
		}
		accepted[number] = time.Now()
		numbers = append(numbers, number)
	}
	var times []time.Duration
	for _, number := range numbers {
		at, err := f.wait(number, inForceTimeout)
		if err != nil {
			return nil, err
		}
		times = append(times, max(0, at.Sub(accepted[number])))
	}
	return times, nil
}

// measureIdle reports bytes and processor time while no note is submitted.
func (c *cluster) measureIdle(f *fleet) {
	control, agent, cpu := c.bytes(), f.bytes(), processorTime()
	before := c.bytesByType(f)
	time.Sleep(idleTime)
	after := c.bytesByType(f)
	seconds := idleTime.Seconds()
	fmt.Printf("idle agents %d: control %.1f KB/s each, agent %.2f KB/s each, processor %.1f%% of a core for all %d processes' work\n",
		len(f.agents), float64(c.bytes()-control)/seconds/1000/float64(len(c.names)),
		float64(f.bytes()-agent)/seconds/1000/float64(len(f.agents)),
		100*(processorTime()-cpu).Seconds()/seconds, len(c.names)+len(f.agents))
	for t, bytes := range after {
		if bytes > before[t] {
			fmt.Printf("  of control: %-16s %.2f KB/s each\n", wire.Type(t), float64(bytes-before[t])/seconds/1000/float64(len(c.names)))
		}
	}
}

// bytesByType is the payload that the replicas sent and received, by message
// type. A message between replicas counts twice: sent and received.
func (c *cluster) bytesByType(f *fleet) [wire.TypeCount]int64 {
	var total [wire.TypeCount]int64
	for t := range total {
		total[t] = c.counts.ReceivedByType[t].Load() + f.counts.ReceivedByType[t].Load()
		if wire.Type(t) == wire.TypeRaft {
			total[t] *= 2
		}
	}
	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// spread formats median, 99th percentile and maximum in milliseconds.
func spread(times []time.Duration) string {
	sorted := slices.Sorted(slices.Values(times))
	p99 := sorted[min(len(sorted)-1, len(sorted)*99/100)]
	return fmt.Sprintf("median %.1f p99 %.1f max %.1f", ms(sorted[len(sorted)/2]), ms(p99), ms(sorted[len(sorted)-1]))
}

// submit submits the next note to the leader until it is accepted.
func (c *cluster) submit() (uint64, error) {
	deadline := time.Now().Add(answerTimeout)
	for time.Now().Before(deadline) {
		l, err := c.leader()
		if err != nil {
			return 0, err
		}
		number := l.Replica().View().Catalogue.Revision + 1
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		a := l.Replica().Propose(ctx, noteCommand(number))
		cancel()
		if a.Status == wire.ProposeCommitted && a.Result.Status == ledger.StatusAccepted {
			return number, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, fmt.Errorf("no note accepted within %v", answerTimeout)
}
