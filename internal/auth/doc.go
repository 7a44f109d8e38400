// Package auth authenticates callers, operators and the system's processes by
// bearer tokens that are read from files.
package auth
