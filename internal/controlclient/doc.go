// Package controlclient keeps sessions to every control replica for entries
// and agents: it delivers catalogue and member updates, asks voters for
// confirmation, and proposes commands to the leader.
package controlclient
