// Package storage keeps the replicated log, its hard state and its snapshots in one data folder.
package storage
