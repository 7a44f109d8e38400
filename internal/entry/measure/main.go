// Command measure reports goodput, latency, fairness and lost work of the entry
// by load, policy and fault, over in-process fake gates, against baselines in
// the same run. Its last line is the goodput at twice the capacity as a ratio
// of the goodput at capacity.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	gateCount    = 8
	gateCapacity = 4
	tokens       = 10
	firstToken   = 40 * time.Millisecond
	perToken     = 18 * time.Millisecond
	// answerTime of an idle gate, and with it the capacity in answers a second.
	answerTime = firstToken + (tokens-1)*perToken
	deadline   = time.Second
	queueWait  = 500 * time.Millisecond

	loadPeriod   = 4 * time.Second
	policyPeriod = 3 * time.Second
	faultPeriod  = 3 * time.Second
	claimPeriod  = 2 * time.Second

	goodputTarget = 0.95
)

func main() {
	loadOnly := flag.Bool("load", false, "measure by load only")
	flag.Parse()
	if err := run(*loadOnly); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(loadOnly bool) error {
	capacity := float64(gateCount*gateCapacity) / answerTime.Seconds()
	fmt.Printf("gates %d, slots %d, answer %v, nominal capacity %.0f answers/s, deadline %v\n\n",
		gateCount, gateCount*gateCapacity, answerTime, capacity, deadline)
	ratio, err := measureLoad(capacity)
	if err != nil {
		return err
	}
	sections := []func(float64) error{measurePolicies, measureFaults, measureClaims}
	if loadOnly {
		sections = nil
	}
	for _, section := range sections {
		if err := section(capacity); err != nil {
			return err
		}
	}
	fmt.Printf("goodput_ratio_at_2x %.3f target %.2f\n", ratio, goodputTarget)
	return nil
}
