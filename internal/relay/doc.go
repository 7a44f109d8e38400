// Package relay forwards the requests of callers from an entry to endpoints without an
// agent. It admits a request according to the routing document, selects an endpoint,
// sends the request directly to it and passes the answer on.
//
// A refusal states that the request did not run only if the request was never sent or
// the endpoint itself said so.
package relay
