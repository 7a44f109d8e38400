// Package auth tells callers, operators and the system's processes apart by
// bearer tokens read from files.
package auth
