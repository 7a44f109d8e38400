// Package swarm schedules the peer-to-peer transfer of chunks: which chunk an
// instance fetches from which source, and when. It does no I/O and reads no
// clock. One Scheduler handles the transfer of one manifest to one instance;
// it is given events with their times and returns the fetches to start.
//
// Every instance applies the same rules to the same list of live instances.
// So all agree, without exchanging messages, on the instance that fetches a
// chunk from the origin and on the instances that connect two regions.
package swarm
