// Package swarm decides which chunk an instance fetches from which source, and
// when. It does no I/O and reads no clock: one Scheduler serves the transfer
// of one manifest to one instance, takes events with the time at which they
// happened, and returns the fetches to start.
//
// Every instance runs the same rules over the same list of live instances and
// so agrees with the others, without messages, on the instance that takes a
// chunk from the origin and on the instances that connect two regions.
package swarm
