package memory

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process without a limit, and one that takes the memory of the machine for its
// own where its control group has less.
func TestOfMachine(t *testing.T) {
	const mib = 1 << 20
	const meminfo = "MemTotal:        1048576 kB\nMemFree: 1 kB\n"
	for name, c := range map[string]struct {
		files map[string]string
		want  int64
	}{
		"nothing readable": {nil, fallback},
		"no group":         {map[string]string{"proc/meminfo": meminfo}, 1024 * mib},
		"group without a limit": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "max\n",
		}, 1024 * mib},
		"group": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "142606336\n",
		}, 136 * mib},
		"group above": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/memory.max": "142606336\n", "sys/fs/cgroup/a/b/memory.max": "max\n",
		}, 136 * mib},
		"version 1": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "3:cpu:/c\n2:memory:/a\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "142606336\n",
		}, 136 * mib},
		"more than the machine": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "9223372036854771712\n",
		}, 1024 * mib},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			root := t.TempDir()
			for path, text := range c.files {
				path = filepath.Join(root, path)
				is.NoErr(os.MkdirAll(filepath.Dir(path), 0o700))
				is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			}
			is.Equal(ofMachine(root), c.want)
		})
	}
	is.New(t).Equal(ForCallers(300*mib), int64(100*mib))
}
