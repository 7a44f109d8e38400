// Package agent is the daemon in the slot of each endpoint instance.
package agent
