// Package loadtool generates load and reports latency histograms.
package loadtool
