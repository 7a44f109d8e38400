package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

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
	run := func(context.Context, daemon.Reloads) error { return nil }
	if os.Getenv(daemonEnv) == drainingDaemon {
		run = drainUntilInputEnds
	}
	daemon.Main("test-daemon", "Test.", &config{}, run)
}

// drainingDaemon is a value of daemonEnv for a daemon that runs drainUntilInputEnds.
const drainingDaemon = "draining"

// drainUntilInputEnds reports its state in lines of standard output. After a stop
// request, it drains until its standard input ends.
func drainUntilInputEnds(ctx context.Context, _ daemon.Reloads) error {
	fmt.Println("started")
	<-ctx.Done()
	fmt.Println("draining")
	_, err := io.Copy(io.Discard, os.Stdin)
	fmt.Println("drained")
	return err
}

// drainTest is a daemon process that runs drainUntilInputEnds.
type drainTest struct {
	*testing.T
	command *exec.Cmd
	input   io.Closer
	pipe    io.Closer // underlies output
	output  *bufio.Scanner
}

// newDrainTest starts a daemon that logs to stderr.
func newDrainTest(t *testing.T, stderr io.Writer) *drainTest {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte("instance: a\n"), 0o600))
	d := &drainTest{T: t, command: exec.Command(os.Args[0], "--settings", path)}
	d.command.Env = append(os.Environ(), daemonEnv+"="+drainingDaemon)
	d.command.Stderr = stderr
	input, err := d.command.StdinPipe()
	is.NoErr(err)
	output, err := d.command.StdoutPipe()
	is.NoErr(err)
	d.input, d.pipe, d.output = input, output, bufio.NewScanner(output)
	is.NoErr(d.command.Start())
	// Ends a daemon that a failed test has left running.
	timer := time.AfterFunc(drainTestTimeout, func() { _ = d.command.Process.Kill() })
	t.Cleanup(func() { timer.Stop() })
	d.expect("started")
	return d
}

const drainTestTimeout = 5 * time.Second

// startDraining starts a daemon, requests its stop and waits until it drains.
func startDraining(t *testing.T) *drainTest {
	t.Helper()
	d := newDrainTest(t, nil)
	d.signal(syscall.SIGTERM)
	d.expect("draining")
	return d
}

func (d *drainTest) expect(line string) {
	d.Helper()
	if !d.output.Scan() || d.output.Text() != line {
		d.Fatalf("the daemon wrote %q, want %q", d.output.Text(), line)
	}
}

func (d *drainTest) signal(s os.Signal) {
	d.Helper()
	is.New(d).NoErr(d.command.Process.Signal(s))
}

// endDrain lets the daemon complete its drain and checks that it did.
func (d *drainTest) endDrain() {
	d.Helper()
	is := is.New(d)
	is.NoErr(d.input.Close())
	is.NoErr(d.command.Wait()) // the daemon was ended before its drain was complete
}

// Guards against a reload signal that ends a draining daemon, which cuts off the
// requests in progress.
func TestReloadSignalDuringDrain(t *testing.T) {
	d := startDraining(t)
	for range 20 {
		d.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	d.endDrain()
}

// Guards against a repeated stop signal that ends a draining daemon, which cuts off the
// requests in progress.
func TestRepeatedStopSignalDuringDrain(t *testing.T) {
	d := startDraining(t)
	for range 20 {
		d.signal(syscall.SIGTERM)
		time.Sleep(10 * time.Millisecond)
	}
	d.endDrain()
}

// Guards against a daemon that ends when the reader of its logs has ended, which cuts off
// the requests in progress.
func TestLogReaderEndsDuringDrain(t *testing.T) {
	d := startDraining(t)
	is.New(t).NoErr(d.pipe.Close())
	d.endDrain()
}

// Guards against a stop signal that is not handled, or is lost in a series of reload
// signals, while the reader of the logs has stopped reading.
func TestStopSignalWhileLogsBlock(t *testing.T) {
	is := is.New(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = reader.Close() }()
	is.NoErr(writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	for err == nil { // fill the pipe
		_, err = writer.Write(make([]byte, 4096))
	}
	for _, series := range []int{0, 40} {
		d := newDrainTest(t, writer)
		for range series {
			d.signal(syscall.SIGHUP)
			time.Sleep(time.Millisecond)
		}
		d.signal(syscall.SIGTERM)
		d.expect("draining")
		d.endDrain()
	}
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
