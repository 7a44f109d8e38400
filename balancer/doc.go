// Package balancer chooses endpoints for requests and judges their health by
// progress.
//
// A Balancer is a state machine: callers pass in the time, the announcements
// and what happened to each attempt, and ask it for an endpoint with Pick and
// for due generation probes with Probes. It reads no clock and opens no
// socket. It is not safe for concurrent use.
//
// Announced loads lag, so only the part of a report that other entries caused
// is used; attempts of the owner of the Balancer are counted exactly. An
// endpoint's own claim to be healthy is not used at all: an endpoint is
// ejected when it holds work and yields no token, when its attempts fail, or
// when a probe fails. At most Config.EjectedShare of a pool is ejected on such
// evidence; beyond it endpoints only become less preferred.
package balancer
