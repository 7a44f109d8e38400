package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the users' pages. Each machine has a loopback
// address of its own. newCluster chooses free ones.
var controlPort, directoryPort, readyPort, frontPort, serverPort, internalPort, metricsPort int

// setPorts assigns ports from base on.
func setPorts(base int) {
	controlPort, directoryPort, readyPort, frontPort, serverPort, metricsPort = base, base+1, base+2, base+3, base+4, base+5
	internalPort = base + 6 // and the next one
}

// Bounds of the users' small sites.
const (
	bootHeartbeat = 1200 * time.Millisecond
	drainBound    = 2 * time.Second
	stability     = 3 * time.Second
	ackBound      = 4 * time.Second
	catchUp       = 4 * time.Second
)

// cluster holds the processes and files of one run.
type cluster struct {
	dir    string
	subnet int // 127.subnet.x.y
	record *os.File
	begun  time.Time

	mu        sync.Mutex
	processes []*process
	closed    bool
}

// newCluster prepares a run whose record goes to record.txt in the case's folder.
func newCluster(folder string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: record, begun: time.Now()}
	for tries := 0; ; tries++ {
		c.subnet = 20 + rand.IntN(200)
		setPorts(12000 + 10*rand.IntN(1800)) // below the ports of outgoing connections
		if c.free() {
			break
		}
		if tries == 100 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		c.close()
		os.Exit(2)
	}()
	return c, nil
}

// free reports whether the ports are free in the subnet.
func (c *cluster) free() bool {
	for _, port := range []int{controlPort, directoryPort, readyPort, frontPort, serverPort, internalPort, internalPort + 1, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", c.subnet, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip returns the address of a machine: group 1 for core, 2 for front, 3 for side, 4 for
// plain servers, 5 for proxies.
func (c *cluster) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.subnet, group, n) }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// note writes a line with the time since the start of the run to the record.
func (c *cluster) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(c.begun).Seconds()) + fmt.Sprintf(format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintln(c.record, line)
	if os.Getenv("QUIET") == "" {
		fmt.Println(line)
	}
}

// close ends all processes that the run started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// process is a program of the deploy file.
type process struct {
	c        *cluster
	name     string
	ip       string
	run      []string
	settings string
	dataDir  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// seedList returns control addresses as the platform names them in the settings.
func seedList(ips []string) string {
	var list []string
	for _, ip := range ips {
		list = append(list, at(ip, controlPort))
	}
	return strings.Join(list, ",")
}

// role starts a role of the deploy file on a machine.
func (c *cluster) role(program, template, name, ip, zone string, seeds []string, bootstrap bool, extra map[string]string) (*process, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	p := &process{c: c, name: name, ip: ip, settings: filepath.Join(c.dir, name+".yaml"), dataDir: filepath.Join(c.dir, name+".data")}
	if err := os.MkdirAll(p.dataDir, 0o700); err != nil {
		return nil, err
	}
	values := map[string]string{
		"node_name": name, "ip": ip, "zone": zone, "region": zone,
		"internal_ports.0": fmt.Sprint(internalPort), "internal_ports.1": fmt.Sprint(internalPort + 1),
		"listen.control": at(ip, controlPort), "listen.directory": at(ip, directoryPort),
		"listen.front": at(ip, frontPort), "listen.ready": at(ip, readyPort),
		"heartbeat_ms": "1200", "data_dir": p.dataDir, "seeds": seedList(seeds),
		"bounds.catch_up_s": "4", "bounds.grace_s": "8", "bounds.version_ms": "8000",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "104", "limits.link_mbps": "7.6",
	}
	for k, v := range extra {
		values[k] = v
	}
	settings := strings.ReplaceAll(string(text), "{{ip}}:9464", at(ip, metricsPort))
	for _, section := range []string{"#", "^"} {
		keep := section == "#" == bootstrap
		settings = regexp.MustCompile(`\{\{`+regexp.QuoteMeta(section)+`bootstrap\}\}(.*?)\{\{/bootstrap\}\}`).ReplaceAllStringFunc(settings, func(s string) string {
			if !keep {
				return ""
			}
			return s[strings.Index(s, "}}")+2 : strings.LastIndex(s, "{{")]
		})
	}
	settings = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(settings, func(s string) string { return values[s[2:len(s)-2]] })
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p.run = []string{program, "--settings", p.settings}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, p.start()
}

func (c *cluster) control(name, ip, zone string, seeds []string, bootstrap bool) (*process, error) {
	return c.role("target/rhubarb-control", "deploy/control.yaml.tmpl", name, ip, zone, seeds, bootstrap, nil)
}

func (c *cluster) relay(name, ip, zone string, seeds []string) (*process, error) {
	return c.role("target/rhubarb-relay", "deploy/relay.yaml.tmpl", name, ip, zone, seeds, true, nil)
}

func (c *cluster) stager(name, ip, zone string, seeds []string, engine, service string) (*process, error) {
	return c.role("target/rhubarb-stager", "deploy/stager.yaml.tmpl", name, ip, zone, seeds, true, map[string]string{"app": engine, "service": service})
}

// start starts the process, or starts it again with the same settings and disk.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.run[0], p.run[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// grepLog returns the lines of a process's log that contain text.
func (p *process) grepLog(text string) []string {
	data, _ := os.ReadFile(filepath.Join(p.c.dir, p.name+".log"))
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

var apiClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	Timeout:       time.Second, // callers of control move on after a second
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// call sends a JSON call to one node.
func call(method, address, path string, body any) (status int, data []byte, err error) {
	var reader io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		reader = bytes.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := apiClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// submit sends an order of the operator to one node after the other until it is
// acknowledged, or until limit has passed. It returns the node that acknowledged it.
func (c *cluster) submit(nodes func() []string, path string, body any, limit time.Duration) (string, bool) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for time.Now().Before(end) {
		for _, ip := range nodes() {
			status, _, err := call(http.MethodPost, at(ip, controlPort), path, body)
			if err == nil && status == http.StatusOK {
				return ip, true
			}
			if err == nil && status/100 == 4 && status != 408 && status != 429 {
				c.note("operator: %s at %s was refused with %d", path, ip, status)
				return ip, false
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return "", false
}

// waitFor polls until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
)
