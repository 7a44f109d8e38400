// Package raft implements a replicated log as a deterministic state machine without sockets, disks or clocks.
package raft
