// Package admission implements admission control with max-min fair sharing
// between organisations.
//
// A Controller manages the slots of one pool of endpoints for one entry. While
// slots are free, every request is admitted. Otherwise requests wait in one
// queue per organisation, and each slot that becomes free goes to the
// organisation with the fewest slots in use over all entries, relative to its
// weight, so a small organisation is served regardless of the load of a large
// one. While waiting requests could miss the latest time at which they must
// start, slots are granted in the order of those times instead, except that
// organisations far below their share still go first. A request whose expected
// wait is too long, or that cannot finish before its deadline, is refused
// immediately with a time after which to retry.
//
// Entries exchange reports on the demand of each organisation. From the same
// reports, all entries compute the same allocation of the pool, so shares and
// limits hold over all entries, except for what is admitted between two reports.
// The gates of the endpoints enforce the total strictly.
//
// The package reads no clock. Its types are not safe for concurrent use.
package admission
