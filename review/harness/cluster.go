package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portControl   = 8000
	portDirectory = 8001
	portReady     = 8002
	portFront     = 8005
	portSession   = 7700
	portOperator  = 7715
	portMetrics   = 9464
)

// bounds of the small deployment, those of sites/kerbline-qld.toml.
const (
	heartbeat       = 1200 * time.Millisecond
	stabilityWindow = 3 * time.Second
	drainTime       = 2 * time.Second
)

// cluster starts the project's programs as processes and keeps the record of a case.
type cluster struct {
	repo, dir string
	subnet    string // first three octets of the addresses
	trouble   bool   // TROUBLE is not 0
	seeds     []string

	mu        sync.Mutex
	record    *os.File
	start     time.Time
	processes []*process
}

// process is one program on one machine.
type process struct {
	c                *cluster
	name, ip, binary string
	settings, data   string
	cmd              *exec.Cmd
	exited           chan struct{}
}

var errCannotRun = errors.New("the case could not run")

// newCluster picks a free loopback subnet and creates the temporary folder.
func newCluster(recordPath string) (*cluster, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{repo: repo, dir: dir, record: record, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	for i := range 200 {
		n := (os.Getpid()*7 + i*13) % 200
		c.subnet = fmt.Sprintf("127.%d.%d", 20+n, 1+(os.Getpid()/200+i)%200)
		if c.free() {
			return c, nil
		}
	}
	return nil, errCannotRun
}

// free reports whether the ports of the subnet's first address are free.
func (c *cluster) free() bool {
	for _, port := range []int{portControl, portDirectory, portReady, portFront, portSession, portOperator, portMetrics} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", c.subnet, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// note writes a line with the time since the start into the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// ip returns the address of a machine.
func (c *cluster) ip(n int) string { return fmt.Sprintf("%s.%d", c.subnet, n) }

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template of deploy/ as DEPLOY.md tells it. Sections here are booleans.
func render(template string, values map[string]string) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if (values[m[2]] == "true") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		return values[valuePattern.FindStringSubmatch(s)[1]]
	})
}

// program prepares a process of a role of deploy/system.toml. Further values of its
// settings, or other ones, are in extra.
func (c *cluster) program(role, name string, n int, extra map[string]string) (*process, error) {
	template, err := os.ReadFile(filepath.Join(c.repo, "deploy", role+".yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	p := &process{c: c, name: name, ip: c.ip(n), binary: filepath.Join(c.repo, "target", "rhubarb-"+role), data: filepath.Join(c.dir, name)}
	if err := os.MkdirAll(p.data, 0o755); err != nil {
		return nil, err
	}
	address := func(port int) string { return p.ip + ":" + strconv.Itoa(port) }
	values := map[string]string{
		"node_name": name, "zone": "bne-a", "region": "brisbane", "ip": p.ip, "data_dir": p.data, "bootstrap": "true",
		"internal_ports.0": strconv.Itoa(portSession), "internal_ports.1": strconv.Itoa(portOperator),
		"listen.control": address(portControl), "listen.directory": address(portDirectory),
		"listen.front": address(portFront), "listen.ready": address(portReady),
		"seeds": strings.Join(c.seeds, ","), "heartbeat_ms": strconv.Itoa(int(heartbeat.Milliseconds())),
		"bounds.catch_up_s": "4", "bounds.grace_s": "8", "bounds.version_ms": "8000",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "104", "limits.link_mbps": "7.6",
	}
	for key, value := range extra {
		values[key] = value
	}
	p.settings = filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(p.settings, []byte(render(string(template), values)), 0o644); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, nil
}

// run starts the process with the command of the deploy file and its settings.
func (p *process) run() error {
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, "--settings", p.settings)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.c.repo, log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// signal sends a signal to the process and records it.
func (p *process) signal(s syscall.Signal) {
	p.c.note("signal   %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder, unless KEEP names another
// place for it.
func (c *cluster) close() {
	for _, p := range c.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		c.note("kept     %s", c.dir)
	}
	_ = c.record.Close()
}

// controls starts n control replicas and returns them.
func (c *cluster) controls(n int) ([]*process, error) {
	for i := range min(n, 3) {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", c.ip(11+i), portControl))
	}
	var list []*process
	for i := range n {
		p, err := c.program("control", fmt.Sprintf("core-%d", i+1), 11+i, nil)
		if err != nil {
			return nil, err
		}
		if err := p.run(); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// fronts starts n relays and returns them.
func (c *cluster) fronts(n int) ([]*process, error) {
	var list []*process
	for i := range n {
		p, err := c.program("relay", fmt.Sprintf("front-%d", i+1), 41+i, nil)
		if err != nil {
			return nil, err
		}
		if err := p.run(); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}
