package main

import (
	"container/heap"
	"time"
)

// The link model. A pipe sends slices in order at its rate. A chunk passes the
// sender's uplink, the region link if there is one, the delay, and the
// receiver's downlink, in slices, with a bounded number of slices under way
// per chunk, as TCP's window does.
const (
	slicesPerChunk = 4
	sliceWindow    = 3
)

type pipe struct {
	bytesPerSecond float64
	freeAt         time.Duration
	bytes          float64
}

// send returns the time at which the last byte has left the pipe.
func (p *pipe) send(now time.Duration, bytes float64) time.Duration {
	p.bytes += bytes
	p.freeAt = max(now, p.freeAt) + time.Duration(bytes/p.bytesPerSecond*float64(time.Second))
	return p.freeAt
}

// flow is one chunk on its way through pipes.
type flow struct {
	pipes      []*pipe
	delay      time.Duration
	slice      float64
	sent, done int
	finished   func()
}

type eventKind uint8

const (
	eventCall eventKind = iota
	eventSend
	eventPipe
	eventDelivered
)

type event struct {
	at    time.Duration
	order uint64
	kind  eventKind
	stage uint8
	flow  *flow
	call  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// clock runs events in order of virtual time.
type clock struct {
	now    time.Duration
	order  uint64
	events eventHeap
}

func (c *clock) add(e event) {
	c.order++
	e.order = c.order
	heap.Push(&c.events, e)
}

func (c *clock) after(d time.Duration, call func()) {
	c.add(event{at: c.now + d, kind: eventCall, call: call})
}

// transfer sends bytes through pipes after the request has travelled.
func (c *clock) transfer(pipes []*pipe, delay time.Duration, bytes float64, finished func()) {
	f := &flow{pipes: pipes, delay: delay, slice: bytes / slicesPerChunk, finished: finished}
	for range sliceWindow {
		c.add(event{at: c.now + delay, kind: eventSend, flow: f})
	}
}

// step runs the next event and reports false when there is none.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	switch e.kind {
	case eventCall:
		e.call()
	case eventSend:
		c.sendSlice(e.flow)
	case eventPipe:
		c.passPipe(e.flow, int(e.stage))
	case eventDelivered:
		c.delivered(e.flow)
	}
	return true
}

func (c *clock) sendSlice(f *flow) {
	if f.sent == slicesPerChunk {
		return
	}
	f.sent++
	c.passPipe(f, 0)
}

func (c *clock) passPipe(f *flow, stage int) {
	at := f.pipes[stage].send(c.now, f.slice)
	switch {
	case stage == len(f.pipes)-1:
		c.add(event{at: at, kind: eventDelivered, flow: f})
	case stage == 0:
		c.add(event{at: at + f.delay, kind: eventPipe, flow: f, stage: uint8(stage + 1)})
	default:
		c.add(event{at: at, kind: eventPipe, flow: f, stage: uint8(stage + 1)})
	}
}

func (c *clock) delivered(f *flow) {
	f.done++
	if f.done == slicesPerChunk {
		f.finished()
		return
	}
	c.add(event{at: c.now + f.delay, kind: eventSend, flow: f})
}
