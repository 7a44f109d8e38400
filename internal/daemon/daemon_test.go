package daemon_test

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// daemonEnv is the environment variable that makes the test binary run as a daemon.
const daemonEnv = "RHUBARB_TEST_DAEMON"

type config struct {
	Instance string `yaml:"instance"`
}

func (c *config) Check() error {
	var p settings.Problems
	p.Required("instance", c.Instance)
	return p.Err()
}

func TestMain(m *testing.M) {
	if os.Getenv(daemonEnv) == "" {
		os.Exit(m.Run())
	}
	daemon.Main("test-daemon", "Test.", &config{}, func(context.Context, daemon.Reloads) error { return nil })
}

// Guards against exit codes that differ from docs/operating.md.
func TestCommandLine(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.yaml")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.New(t).NoErr(os.WriteFile(good, []byte("instance: a\n"), 0o600))
	is.New(t).NoErr(os.WriteFile(bad, []byte("zone: a\n"), 0o600))
	cases := map[string]struct {
		args []string
		code int
	}{
		"run":             {[]string{"--settings", good}, 0},
		"check":           {[]string{"--settings", good, "--check"}, 0},
		"help":            {[]string{"--help"}, 0},
		"version":         {[]string{"--version"}, 0},
		"bad settings":    {[]string{"--settings", bad, "--check"}, 1},
		"no such file":    {[]string{"--settings", bad + "x", "--check"}, 1},
		"no settings":     {nil, daemon.ExitUsage},
		"unknown flag":    {[]string{"--nonsense"}, daemon.ExitUsage},
		"unexpected word": {[]string{"--settings", good, "start"}, daemon.ExitUsage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			command := exec.Command(os.Args[0], c.args...)
			command.Env = append(os.Environ(), daemonEnv+"=1")
			out, err := command.CombinedOutput()
			t.Logf("%s", out)
			var exit *exec.ExitError
			is.True(err == nil || errors.As(err, &exit))
			is.Equal(command.ProcessState.ExitCode(), c.code)
		})
	}
}
