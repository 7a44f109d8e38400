// Package stager implements the sidecar of an engine that is reached without an agent. It
// brings the named weights version to its engine.
//
// A stager fetches the pieces of a version, verifies each against its digest, stages them
// on the engine, reads them back right before ordering the load, and orders the load.
// Pieces are exchanged between stagers: only one stager fetches each piece from the
// origin, and each piece is transferred to each region once.
package stager
