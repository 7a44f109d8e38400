package main

import (
	"context"
	"fmt"
	"io"
	"time"
)

const setAdapters = 8

// adapterRows compares a set's adapters fetched one after another with several
// at the same time, in alternating runs over rate-limited sockets.
func adapterRows(out io.Writer) error {
	_, _ = fmt.Fprintln(out, "N\tmanifests at a time\ttime s\ttime / lower bound\torigin copies")
	for range 3 {
		for _, manifests := range []int{1, 4, 1 + setAdapters} {
			if err := adapterRow(out, kerbline(12), manifests); err != nil {
				return err
			}
		}
	}
	return nil
}

func adapterRow(out io.Writer, d deployment, manifests int) error {
	r := &socketRun{deployment: d, adapters: setAdapters, manifestFetches: manifests}
	defer r.close()
	if err := r.setUp(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), socketTimeout)
	defer cancel()
	started := time.Now()
	if err := r.fetch(ctx); err != nil {
		return err
	}
	took := time.Since(started).Seconds()
	bytes := float64(socketCopyBytes + setAdapters*socketAdapterBytes)
	_, err := fmt.Fprintf(out, "%d\t%d\t%.1f\t%.3f\t%.3f\n", d.instances, manifests, took, took/r.lowerBound(bytes), float64(r.sentOrigin.Load())/bytes)
	return err
}
