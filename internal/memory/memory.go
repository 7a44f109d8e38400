// Package memory derives the limits of a process from the memory of its machine.
package memory

import (
	"bufio"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	// runtimeShare is the share of the machine's memory that the Go runtime may use. The program
	// text adds 8 to 9 MiB to it, and the operating system needs some.
	runtimeShare = 0.8
	// callerShare is the share of it that may be held for callers. As much again may be garbage,
	// and the rest is the state of the process.
	callerShare = 1.0 / 3
	// fallback is assumed if the memory of the machine cannot be read: the smallest instance that
	// the deployments specify.
	fallback = 136 << 20
)

// SetRuntimeLimit sets the soft memory limit of the Go runtime. The size of the machine's memory
// is 0 if it is not set.
func SetRuntimeLimit(machine int64) { debug.SetMemoryLimit(share(machine, runtimeShare)) }

// ForCallers returns how many bytes a process may hold for callers. The size of the machine's
// memory is 0 if it is not set.
func ForCallers(machine int64) int64 { return share(machine, callerShare) }

func share(machine int64, part float64) int64 {
	if machine <= 0 {
		machine = ofMachine("/")
	}
	return int64(part * float64(machine))
}

// ofMachine returns the memory limit of the control group of this process, or the memory of the
// machine if that is smaller. Files are read below root.
func ofMachine(root string) int64 {
	total := int64(math.MaxInt64)
	if kb, ok := field(filepath.Join(root, "proc/meminfo"), "MemTotal:"); ok {
		total = kb << 10
	}
	groups, _ := os.ReadFile(filepath.Join(root, "proc/self/cgroup"))
	for line := range strings.Lines(string(groups)) {
		// "0::PATH" names the group of version 2, "N:memory:PATH" that of version 1.
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) != 3 {
			continue
		}
		mount, name := "sys/fs/cgroup", "memory.max"
		switch parts[1] {
		case "":
		case "memory":
			mount, name = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		// Limits of the groups above apply as well.
		for path := filepath.Clean("/" + parts[2]); ; path = filepath.Dir(path) {
			if bytes, ok := number(filepath.Join(root, mount, path, name)); ok {
				total = min(total, bytes)
			}
			if path == "/" {
				break
			}
		}
	}
	if total == math.MaxInt64 {
		return fallback
	}
	return total
}

func number(path string) (int64, bool) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64) // "max" for none
	return n, err == nil && n > 0
}

func field(path, name string) (int64, bool) {
	file, err := os.Open(path)
	if err != nil {
		return 0, false
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if words := strings.Fields(lines.Text()); len(words) > 1 && words[0] == name {
			n, err := strconv.ParseInt(words[1], 10, 64)
			return n, err == nil && n > 0
		}
	}
	return 0, false
}
