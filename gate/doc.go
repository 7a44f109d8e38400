// Package gate decides whether an endpoint may start an attempt and records what became of it.
package gate
