// Package engine is a client for model engines: it reads their status, sends
// load and unload orders, and probes whether they make progress.
package engine
