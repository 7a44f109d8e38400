// Package controlclient connects entries and agents to the control replicas. It
// keeps a session to each replica, delivers updates of the catalogue and the
// members, requests confirmations from the voters, and proposes commands to the
// leader.
package controlclient
