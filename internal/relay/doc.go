// Package relay is the entry's request path to endpoints without an agent: it
// admits a caller's request by the routing document, places it, sends it straight
// to an endpoint, and passes the answer on.
//
// What it promises about a request it can prove: a refusal that says "not run" is
// given only before the request was sent, or after the endpoint said so itself.
package relay
