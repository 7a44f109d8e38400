package matrix

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
)

// state is the outcome of a cell.
type state string

const (
	passed     state = "passed"
	failed     state = "FAILED"
	red        state = "known red"
	notRun     state = "not run"
	impossible state = "–"
)

// result describes one cell and its outcome.
type result struct {
	path   string
	step   step
	fault  string
	test   string
	pair   bool
	state  state
	detail string
}

// resultList collects the results of cells that run concurrently.
type resultList struct {
	mu  sync.Mutex
	all []result
}

var results resultList

func (l *resultList) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

// summary returns the counts that make matrix prints last.
func (l *resultList) summary() string {
	counts := map[state]int{}
	for _, r := range l.all {
		counts[r.state]++
	}
	cells := len(l.all) - counts[impossible]
	return fmt.Sprintf("cells %d, passed %d, known red %d, not run %d", cells, counts[passed], counts[red], counts[notRun])
}

func writeReport(path string) error {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nMade by `make matrix`; do not edit. Every cell runs the real daemons, with stand-ins for engines, service and origin, over an in-memory network under virtual time, with quotes and orders flowing, and then checks every invariant:\n\n")
	for _, c := range checks {
		fmt.Fprintf(&b, "- %s\n", c.invariant)
	}
	fmt.Fprintf(&b, "\nSeed %d. A cell's test is `TestSingleFaults/{path}/{step}/{fault}` in internal/matrix, with dashes for spaces; run one with `go test ./internal/matrix -matrix.all -run NAME`.\n", *seed)
	for _, sc := range scenarios {
		writeTable(&b, sc)
	}
	writePairs(&b)
	b.WriteString("\n## Impossible cells\n\n")
	seen := map[string]bool{}
	for _, r := range results.all {
		if line := fmt.Sprintf("- %s, path %s: %s\n", r.fault, r.path, r.detail); r.state == impossible && !seen[line] {
			seen[line] = true
			b.WriteString(line)
		}
	}
	b.WriteString(limitations)
	fmt.Fprintf(&b, "\n%s\n", results.summary())
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

const limitations = `
## What these cells do not show

- A paused process here stops communicating while its timers go on. Real pauses (SIGSTOP) of each role, and kills of real processes, are run by ` + "`make faults`" + `.
- The seed fixes load and pairs, not the order of goroutines: which replica reaches a step first can differ between runs.
- Disks do not fail or fill here; the tests of packages storage and internal/control bring that about.
- Raft messages are lost, duplicated and reordered singly in the property tests of package raft; over the in-memory network each connection keeps its order, as TCP does.
- Weights are a few hundred KiB. Rollouts under link limits are measured by ` + "`make measure-weights`" + `.
`

func writeTable(b *strings.Builder, sc scenario) {
	fmt.Fprintf(b, "\n## Path: %s\n\n| fault |", sc.path)
	for _, at := range sc.steps {
		fmt.Fprintf(b, " %s |", at)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(sc.steps)) + "\n")
	for _, f := range faults {
		fmt.Fprintf(b, "| %s |", f.name)
		for _, at := range sc.steps {
			fmt.Fprintf(b, " %s |", stateOf(sc.path, at, f.name))
		}
		b.WriteString("\n")
	}
}

func stateOf(path string, at step, fault string) state {
	i := slices.IndexFunc(results.all, func(r result) bool {
		return !r.pair && r.path == path && r.step == at && r.fault == fault
	})
	if i < 0 {
		return notRun
	}
	return results.all[i].state
}

func writePairs(b *strings.Builder) {
	b.WriteString("\n## Pairs and repeats\n\n| test | result |\n|---|---|\n")
	var lines []string
	for _, r := range results.all {
		if r.pair {
			lines = append(lines, fmt.Sprintf("| %s | %s |\n", strings.TrimPrefix(r.test, "TestPairsOfFaults/"), r.state))
		}
	}
	slices.Sort(lines)
	b.WriteString(strings.Join(lines, ""))
}
