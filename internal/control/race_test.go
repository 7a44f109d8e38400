//go:build race

package control

import "runtime"

// With several processors the race detector of Go 1.26 crashes in synctest bubbles: all
// timers of a bubble share one race context, a goroutine that finds a ticker due runs it
// on its own thread, and the replicas' tickers are due at the same moment
// (unlockAndRun and maybeRunChan in runtime/time.go).
func init() { runtime.GOMAXPROCS(1) }
