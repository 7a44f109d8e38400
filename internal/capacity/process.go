package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the kernel's unit of processor time, per second.
const clockTicks = 100

// usage is the processor time and resident memory of a process.
type usage struct {
	cpu time.Duration
	rss int64 // bytes
}

func readUsage(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may hold spaces; fields count from behind it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] { // user and system time
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return usage{}, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		return usage{}, err
	}
	return usage{cpu: time.Duration(ticks) * time.Second / clockTicks, rss: pages * int64(os.Getpagesize())}, nil
}

// meter measures processes over a phase.
type meter struct {
	pids    []int
	started time.Time
	before  []usage
}

func startMeter(pids ...int) (*meter, error) {
	m := &meter{pids: pids, started: time.Now()}
	for _, pid := range pids {
		u, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		m.before = append(m.before, u)
	}
	return m, nil
}

// cost is what one process used, the mean over the measured ones.
type cost struct {
	corePercent float64
	megabytes   float64
}

func (m *meter) stop() (cost, error) {
	elapsed := time.Since(m.started).Seconds()
	var total cost
	for i, pid := range m.pids {
		u, err := readUsage(pid)
		if err != nil {
			return cost{}, err
		}
		total.corePercent += (u.cpu - m.before[i].cpu).Seconds() / elapsed * 100
		total.megabytes += float64(u.rss) / 1e6
	}
	n := float64(len(m.pids))
	return cost{total.corePercent / n, total.megabytes / n}, nil
}
