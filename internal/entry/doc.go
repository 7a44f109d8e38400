// Package entry is the caller-facing daemon.
package entry
