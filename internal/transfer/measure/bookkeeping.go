package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/transfer"
	"github.com/rhubarbhill/rhubarbhill/internal/transport"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/manifest"
	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	bookkeepingFiles       = 4000 // one tiny chunk each
	bookkeepingSubscribers = 8
	bookkeepingPhase       = 4 * time.Second
	// bookkeepingWarmUp lasts until the files exist and the origin is used.
	bookkeepingWarmUp = 5 * time.Second
)

var bookkeepingRates = []float64{0.001, 40, 80}

// bookkeeping holds chunks at several rates and counts what eight subscribers
// receive, and the processor time of both sides together.
func bookkeeping() error {
	dir, err := os.MkdirTemp("", "rhubarb-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tokenFile := filepath.Join(dir, "token")
	if err := os.WriteFile(tokenFile, []byte("0123456789abcdef"), 0o600); err != nil {
		return err
	}
	token, err := auth.ReadToken(tokenFile)
	if err != nil {
		return err
	}
	fmt.Println("subscribers  chunks/s  message bytes/s  processor ms/s, both sides and the fetches")
	for _, subscribers := range []int{0, bookkeepingSubscribers} {
		for _, chunksPerSecond := range bookkeepingRates {
			cacheDir := filepath.Join(dir, fmt.Sprint(subscribers, chunksPerSecond))
			if err := bookkeepingAt(subscribers, chunksPerSecond, cacheDir, token); err != nil {
				return err
			}
		}
	}
	return nil
}

func bookkeepingAt(subscribers int, chunksPerSecond float64, dir string, token auth.Token) error {
	set, origin, err := tinyChunks(rate.NewLimiter(rate.Limit(chunksPerSecond), 1))
	if err != nil {
		return err
	}
	defer origin.Close()
	agent, err := transfer.New(transfer.Config{CacheDir: dir, OriginURL: origin.URL, Endpoint: "a", Region: "r", Token: token})
	if err != nil {
		return err
	}
	defer agent.Close()
	server := httptest.NewServer(agent.PeerHandler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = agent.Fetch(ctx, set)
	}()
	defer func() { cancel(); <-done }()
	time.Sleep(bookkeepingWarmUp)

	var counts transport.ByteCounts
	for range subscribers {
		dialer := transport.Dialer{
			Address: strings.TrimPrefix(server.URL, "http://"), Token: token.Secret(), Bytes: &counts,
			Handler: func(_ context.Context, _ *transport.Session, env wire.Envelope) {
				var have wire.Have
				_ = env.Into(&have)
			},
		}
		session, err := dialer.Connect(ctx)
		if err != nil {
			return err
		}
		defer session.Close()
		var have wire.Have
		request := wire.HaveRequest{Manifest: set.Model.Manifest, Endpoint: "b", Subscription: 1}
		if err := session.Request(ctx, request, &have); err != nil {
			return err
		}
	}
	bytesBefore, processorBefore := counts.Received.Load(), processorTime()
	time.Sleep(bookkeepingPhase)
	seconds := bookkeepingPhase.Seconds()
	fmt.Printf("%11d  %8.0f  %15.0f  %14.2f\n", subscribers, chunksPerSecond, float64(counts.Received.Load()-bytesBefore)/seconds,
		float64((processorTime()-processorBefore).Microseconds())/1000/seconds)
	return nil
}

// tinyChunks publishes many files of one chunk at an origin with a rate.
func tinyChunks(limit *rate.Limiter) (release.WeightsSet, *httptest.Server, error) {
	var b manifest.Builder
	for i := range bookkeepingFiles {
		content := binary.LittleEndian.AppendUint64(nil, uint64(i))
		if err := b.Add(fmt.Sprintf("m/%d", i), bytes.NewReader(content)); err != nil {
			return release.WeightsSet{}, nil, err
		}
	}
	_, encoded, digest, err := b.Build()
	if err != nil {
		return release.WeightsSet{}, nil, err
	}
	set := release.WeightsSet{Model: release.Model{Name: "m", Version: "1", Manifest: digest, Role: "r"}}
	return set, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, isObject := strings.CutPrefix(r.URL.Path, wire.PathObjects+"m/")
		if !isObject {
			_, _ = w.Write(encoded)
			return
		}
		if limit.Wait(r.Context()) != nil {
			return
		}
		var i uint64
		_, _ = fmt.Sscan(name, &i)
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(binary.LittleEndian.AppendUint64(nil, i)))
	})), nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
