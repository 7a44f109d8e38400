package main

import (
	"time"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const (
	tickInterval = 100 * time.Millisecond
	haveInterval = 250 * time.Millisecond
	// maxVirtual ends a run early; the star takes hours at 290 instances.
	maxVirtual = 25 * time.Minute
)

// planner decides the fetches of one instance.
type planner interface {
	next(now time.Duration) []swarm.Fetch
	done(now time.Duration, f swarm.Fetch)
	complete() bool
	// peers are the instances whose reports the planner wants.
	peers() []swarm.Node
	peerHas(now time.Duration, id string, chunks []int)
	// pushes is true when each verified chunk is reported at once.
	pushes() bool
}

type instance struct {
	node        swarm.Node
	up, down    *pipe
	planner     planner
	held        []int
	reported    int
	subscribers []*instance
	doneAt      time.Duration
}

// simulation runs one method on one deployment.
type simulation struct {
	clock
	deployment deployment
	origin     *pipe
	links      map[[2]string]*pipe
	instances  []*instance
	byID       map[string]*instance
	left       int
}

func newSimulation(d deployment, plan func(nodes []swarm.Node, self int) planner) *simulation {
	s := &simulation{
		deployment: d, origin: &pipe{bytesPerSecond: originRate()},
		links: map[[2]string]*pipe{}, byID: map[string]*instance{},
	}
	nodes := d.nodes()
	for i, n := range nodes {
		v := &instance{
			node: n, planner: plan(nodes, i),
			up: &pipe{bytesPerSecond: machineRate() * d.uplinkShare(i)}, down: &pipe{bytesPerSecond: machineRate()},
		}
		s.instances = append(s.instances, v)
		s.byID[n.ID] = v
	}
	for _, v := range s.instances {
		for _, p := range v.planner.peers() {
			s.byID[p.ID].subscribers = append(s.byID[p.ID].subscribers, v)
		}
	}
	s.left = len(s.instances)
	return s
}

// run returns the time at which the last instance was complete.
func (s *simulation) run() time.Duration {
	for i, v := range s.instances {
		phase := time.Duration(i) * haveInterval / time.Duration(len(s.instances))
		s.after(0, func() { s.report(v); s.start(v) })
		s.after(phase, func() { s.tickReport(v) })
		s.after(phase%tickInterval, func() { s.tick(v) })
	}
	for s.left > 0 && s.now < maxVirtual && s.step() {
	}
	return s.now
}

func (s *simulation) tick(v *instance) {
	if v.planner.complete() {
		return
	}
	s.start(v)
	s.after(tickInterval, func() { s.tick(v) })
}

func (s *simulation) tickReport(v *instance) {
	if v.planner.pushes() {
		return
	}
	s.report(v)
	s.after(haveInterval, func() { s.tickReport(v) })
}

// report tells subscribers of the chunks verified since the last report.
func (s *simulation) report(v *instance) {
	chunks := v.held[v.reported:len(v.held):len(v.held)]
	if len(chunks) == 0 && s.now > haveInterval {
		return
	}
	v.reported = len(v.held)
	for _, to := range v.subscribers {
		s.after(s.deployment.delay(v.node, to.node), func() {
			if !to.planner.complete() {
				to.planner.peerHas(s.now, v.node.ID, chunks)
				s.start(to)
			}
		})
	}
}

func (s *simulation) start(v *instance) {
	for _, f := range v.planner.next(s.now) {
		pipes, delay := s.route(v, f.Source)
		s.transfer(pipes, delay, chunkBytes, func() { s.finished(v, f) })
	}
}

func (s *simulation) route(v *instance, source swarm.Source) ([]*pipe, time.Duration) {
	if source.Kind != swarm.KindPeer {
		return []*pipe{s.origin, v.down}, originDelay
	}
	from := s.byID[source.Peer]
	delay := s.deployment.delay(from.node, v.node)
	if from.node.Region == v.node.Region {
		return []*pipe{from.up, v.down}, delay
	}
	key := [2]string{from.node.Region, v.node.Region}
	if s.links[key] == nil {
		s.links[key] = &pipe{bytesPerSecond: regionLinkBytes}
	}
	return []*pipe{from.up, s.links[key], v.down}, delay
}

func (s *simulation) finished(v *instance, f swarm.Fetch) {
	v.planner.done(s.now, f)
	v.held = append(v.held, f.Chunk)
	if v.planner.pushes() {
		s.report(v)
	}
	if v.planner.complete() {
		v.doneAt = s.now
		s.left--
		return
	}
	s.start(v)
}

func (s *simulation) originCopies() float64 { return s.origin.bytes / copyBytes }

func (s *simulation) linkCopies() float64 {
	sum := 0.0
	for _, p := range s.links {
		sum += p.bytes
	}
	return sum / copyBytes
}
