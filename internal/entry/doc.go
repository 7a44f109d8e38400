// Package entry implements the caller-facing daemon: an HTTP gateway that
// authenticates callers, admits requests under fair shares, selects an endpoint
// for each attempt and relays the response. It retries failed attempts and resumes
// interrupted streams on other endpoints, and runs non-idempotent calls at most
// once.
package entry
