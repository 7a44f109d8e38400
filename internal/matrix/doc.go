// Package matrix injects each fault, and pairs of faults, at each step of four paths
// through the system and then checks the system's invariants. It runs the daemons in
// one process over an in-memory network and under virtual time.
package matrix
