// Package balancer selects endpoints for requests and detects unhealthy
// endpoints by the progress of their work.
//
// A Balancer is a state machine: callers pass in the current time, endpoint
// announcements and the result of each attempt, and ask for an endpoint with
// Pick and for due generation probes with DueProbes. It reads no clock and
// opens no socket. It is not safe for concurrent use.
//
// Announced loads are stale, so a report is used only to estimate the load that
// other entries cause; the entry's own attempts are counted exactly. An
// endpoint's own health status is ignored: an endpoint is ejected when it has
// work in flight but produces no tokens, when its attempts fail, or when a
// probe fails. At most Config.MaxEjectedShare of a pool is ejected on such
// evidence; beyond that, failing endpoints stay selectable but are less
// preferred.
package balancer
