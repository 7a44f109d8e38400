// Package scene starts the project's programs with the commands of the deploy file, in front of
// small servers that behave as the users' pages say, and records what happens.
package scene

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Scene is a small deployment.
type Scene struct {
	Dir    string // temporary folder
	Root   string // repository
	Prefix string // first three numbers of the addresses, e.g. "127.61.0"
	record *os.File
	start  time.Time

	mu    sync.Mutex
	procs []*Proc
	beats atomic.Int64
}

// Proc is a program under test.
type Proc struct {
	Name   string
	Cmd    *exec.Cmd
	exited chan struct{}
}

// limitedArg is the first argument of a process that takes the descriptor limit of its machine
// and becomes the program in the other arguments.
const limitedArg = "-with-descriptors"

func init() {
	if len(os.Args) < 4 || os.Args[1] != limitedArg {
		return
	}
	var n uint64
	_, err := fmt.Sscan(os.Args[2], &n)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err == nil {
		err = syscall.Exec(os.Args[3], os.Args[3:], os.Environ())
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// limit is how long a case may run.
const limit = 115 * time.Second

// New opens the record in the folder of the case, and a temporary folder. Each run has loopback
// addresses of its own, so that the ports of the pages are free on them.
func New() (*Scene, error) {
	prefix := fmt.Sprintf("127.%d.%d", 64+os.Getpid()/250%64, 1+os.Getpid()%250)
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder := os.Getenv("CASE_DIR")
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &Scene{Dir: dir, Root: root, Prefix: prefix, record: record, start: time.Now()}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stops:
			s.Fail("stopped")
		case <-time.After(limit):
			s.Fail("not done within %v", limit)
		}
	}()
	return s, nil
}

// Trouble reports whether the disruption is to happen.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Logf writes a line to the record and to standard output.
func (s *Scene) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// Recordf writes a line to the record only.
func (s *Scene) Recordf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
}

// End stops every process that was started, and exits.
func (s *Scene) End(code int) {
	s.mu.Lock()
	procs := append([]*Proc(nil), s.procs...)
	s.mu.Unlock()
	for _, p := range procs {
		_ = p.Cmd.Process.Signal(syscall.SIGCONT)
		_ = p.Cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.exited
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.Dir)
	os.Exit(code)
}

// Fail ends the case as one that could not run.
func (s *Scene) Fail(format string, args ...any) {
	s.Logf("could not run: "+format, args...)
	s.End(2)
}

// Host returns an address of the scene.
func (s *Scene) Host(n int) string { return fmt.Sprintf("%s.%d", s.Prefix, n) }

// Start starts a program of the deploy file with settings, and at most fds descriptors.
func (s *Scene) Start(name, program, settings string, fds int) *Proc {
	path := filepath.Join(s.Dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		s.Fail("%v", err)
	}
	p := &Proc{Name: name, exited: make(chan struct{})}
	command := []string{filepath.Join(s.Root, "target", program), "--settings", path}
	if fds > 0 {
		own, err := os.Executable()
		if err != nil {
			s.Fail("%v", err)
		}
		command = append([]string{own, limitedArg, fmt.Sprint(fds)}, command...)
	}
	p.Cmd = exec.Command(command[0], command[1:]...)
	p.Cmd.Dir = s.Root
	log, err := os.Create(filepath.Join(s.Dir, name+".log"))
	if err != nil {
		s.Fail("%v", err)
	}
	p.Cmd.Stdout, p.Cmd.Stderr = log, log
	if err := p.Cmd.Start(); err != nil {
		s.Fail("start %s: %v (build with the deploy file first)", name, err)
	}
	s.Recordf("started %s, pid %d", name, p.Cmd.Process.Pid)
	go func() {
		_ = p.Cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	return p
}

// Log returns the log of a process.
func (s *Scene) Log(p *Proc) string {
	text, _ := os.ReadFile(filepath.Join(s.Dir, p.Name+".log"))
	return string(text)
}

// Ended reports whether a process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal to a process.
func (p *Proc) Signal(sig os.Signal) { _ = p.Cmd.Process.Signal(sig) }

// Exited is closed when the process has ended.
func (p *Proc) Exited() <-chan struct{} { return p.exited }

// Seeds lists the control addresses of the first n hosts.
func (s *Scene) Seeds(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%q", s.Host(10+i)+":8000"))
	}
	return strings.Join(list, ", ")
}

// StartControl starts control replica i of n, as deploy/control.yaml.tmpl has it.
func (s *Scene) StartControl(i, n int, bootstrap bool, memoryMB, fds int) *Proc {
	host := s.Host(10 + i)
	dir := filepath.Join(s.Dir, fmt.Sprintf("disk-%d", i))
	_ = os.MkdirAll(dir, 0o700)
	return s.Start(fmt.Sprintf("core-%d", i), "rhubarb-control", fmt.Sprintf(`instance: "core-%[1]d"
zone: "bne-a"
region: "brisbane"
process_token_file: deploy/process.token
operator_token_file: deploy/operator.token
replica: "%[2]s"
session_listen: "%[2]s:7700"
operator_listen: "%[2]s:7715"
registry_listen: "%[2]s:8000"
directory_listen: "%[2]s:8001"
heartbeat: 1200ms
data_dir: "%[3]s"
seeds: [%[4]s]
join_only: %[5]v
voter_loss: 4s
target_voters: 5
zones: {"bne-a":"brisbane"}
zone_losses: 0
memory: %[6]d000000B
metrics_listen: "%[2]s:9464"
`, i, host, dir, s.Seeds(min(n, 3)), !bootstrap, memoryMB), fds)
}

// StartRelay starts relay i before n control replicas, as deploy/relay.yaml.tmpl has it.
func (s *Scene) StartRelay(i, n, memoryMB, fds int) *Proc {
	host := s.Host(30 + i)
	return s.Start(fmt.Sprintf("front-%d", i), "rhubarb-relay", fmt.Sprintf(`instance: "front-%[1]d"
zone: "bne-a"
region: "brisbane"
process_token_file: deploy/process.token
listen: "%[2]s:8005"
ready_listen: "%[2]s:8002"
peer_listen: "%[2]s:7700"
seeds: [%[3]s]
session_port: 7700
grace: 8s
weights_bound: 8000ms
retry_ratio: 0.2
retry_slack: 104
zones: {"bne-a":"brisbane"}
memory: %[4]d000000B
metrics_listen: "%[2]s:9464"
`, i, host, s.Seeds(min(n, 3)), memoryMB), fds)
}

// Client has no connections of its own between calls.
var Client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call sends a call and returns the status and the body.
func Call(method, address, path string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := Client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// Await polls until done reports true, or ends the case.
func (s *Scene) Await(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.Fail("no %s within %v", what, limit)
		}
	}
	s.Logf("%s", what)
}

// Heartbeat returns the check-in of a server.
func (s *Scene) Heartbeat(service, address, state string, born int64) []byte {
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "bne-a", "version": "v1", "slots": 16,
		"state": state, "cold_remaining_ms": 0, "sequence": s.beats.Add(1), "born": born,
	})
	return body
}

// Listen opens a listener or ends the case.
func (s *Scene) Listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.Fail("%v", err)
	}
	return l
}
