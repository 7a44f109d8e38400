// Package metrics serves Prometheus metrics and the health checks of a daemon.
package metrics
