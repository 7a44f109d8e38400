// Package admission decides which requests are let in, and in which order
// organisations are served.
//
// A Controller guards the slots of one pool of endpoints for one entry. While
// slots are free every request is admitted. Otherwise requests wait in one
// queue per organisation, and each slot that becomes free goes to the
// organisation that holds the fewest slots for its weight, over all entries,
// so a small organisation is served however much a large one sends. A request
// whose expected wait is too long, or that cannot finish before its deadline,
// is refused at once with the time after which to come back.
//
// Entries tell each other the demand of each organisation. From the same
// reports each computes the same division of the pool, so that shares and
// limits hold over all entries, to within what is admitted between two
// reports. The endpoints' own gates keep the total strict.
//
// The package reads no clock. Its types are not safe for concurrent use.
package admission
