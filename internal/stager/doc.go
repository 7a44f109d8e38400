// Package stager is the small process beside each engine that is reached without
// an agent: it brings the named weights to its engine.
//
// It fetches the pieces of a version, checks each against its digest, stages them
// beside the engine, reads them back right before the load order, and orders the
// load. Pieces come from stagers that have them; each piece is taken from the
// origin by one stager, and crosses to each region once.
package stager
