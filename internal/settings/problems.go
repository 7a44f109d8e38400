package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
)

// Problems collects the errors in settings, so that all of them are reported at
// once. The zero value is ready to use.
type Problems struct {
	list []error
}

// Add records a problem with a field.
func (p *Problems) Add(field, format string, args ...any) {
	p.list = append(p.list, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// Err returns all problems as one error, or nil.
func (p *Problems) Err() error { return errors.Join(p.list...) }

// Required checks that value is not blank.
func (p *Problems) Required(field, value string) {
	if strings.TrimSpace(value) == "" {
		p.Add(field, "is required")
	}
}

// Address checks an IP address with port, such as 10.0.0.1:7400 or [::1]:7400.
func (p *Problems) Address(field, value string) {
	if value == "" {
		p.Add(field, "is required: an IP address and port such as 10.0.0.1:7400")
		return
	}
	if a, err := netip.ParseAddrPort(value); err != nil || a.Addr().Zone() != "" {
		p.Add(field, "%q is not an IP address and port such as 10.0.0.1:7400", value)
	}
}

// Loopback checks a loopback IP address with port, for listeners that require no
// token.
func (p *Problems) Loopback(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err == nil && !a.Addr().IsLoopback() {
		p.Add(field, "%q is not a loopback address; this port has no token", value)
		return
	}
	p.Address(field, value)
}

// Addresses checks a list of distinct addresses with at least one entry.
func (p *Problems) Addresses(field string, values []string) {
	if len(values) == 0 {
		p.Add(field, "needs at least one IP address and port")
	}
	for i, value := range values {
		at := fmt.Sprintf("%s[%d]", field, i)
		p.Address(at, value)
		if slices.Contains(values[:i], value) {
			p.Add(at, "%q is given twice", value)
		}
	}
}

// URL checks an http URL whose host is an IP address with port.
func (p *Problems) URL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" {
		p.Add(field, "%q is not a URL such as http://10.0.0.1:8000", value)
		return
	}
	p.Address(field, u.Host)
}

// TokenFile checks that path is a readable token file.
func (p *Problems) TokenFile(field, path string) {
	if path == "" {
		p.Add(field, "is required: a file with a token")
		return
	}
	if _, err := auth.ReadToken(path); err != nil {
		p.Add(field, "%v", err)
	}
}

// OneOf checks that value is in allowed.
func (p *Problems) OneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		p.Add(field, "%q is not one of %s", value, strings.Join(allowed, ", "))
	}
}

// Positive checks that value is above zero.
func (p *Problems) Positive(field string, value int64) {
	if value <= 0 {
		p.Add(field, "must be above 0, got %d", value)
	}
}

// LogLevel checks the name of a log level.
func (p *Problems) LogLevel(field, value string) {
	if _, err := log.ParseLevel(value); err != nil {
		p.Add(field, "%q is not one of debug, info, warn, error, fatal", value)
	}
}

// WritableDir checks that files can be created in a directory, and creates the
// directory if it is missing.
func (p *Problems) WritableDir(field, path string) {
	if path == "" {
		p.Required(field, path)
		return
	}
	err := os.MkdirAll(path, 0o700)
	if err == nil {
		var probe *os.File
		if probe, err = os.CreateTemp(path, ".writable-*"); err == nil {
			_ = probe.Close()
			err = os.Remove(probe.Name())
		}
	}
	if err != nil {
		p.Add(field, "%v", err)
	}
}
