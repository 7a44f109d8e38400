package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes, written with a unit: "64MiB".
type Size int64

// Rate is a number of bytes per second, written with a unit: "20Mbit/s".
type Rate int64

// Duration is a length of time, written with a unit: "500ms".
type Duration time.Duration

type unit struct {
	suffix string
	factor float64
}

const (
	kibi = 1 << 10
	kilo = 1000
	// bytesPerBit converts a rate in bits to bytes.
	bytesPerBit = 1.0 / 8
)

var sizeUnits = []unit{
	{"GiB", kibi * kibi * kibi},
	{"MiB", kibi * kibi},
	{"KiB", kibi},
	{"B", 1},
}

var rateUnits = []unit{
	{"Gbit/s", kilo * kilo * kilo * bytesPerBit},
	{"Mbit/s", kilo * kilo * bytesPerBit},
	{"kbit/s", kilo * bytesPerBit},
	{"bit/s", bytesPerBit},
	{"GiB/s", kibi * kibi * kibi},
	{"MiB/s", kibi * kibi},
	{"KiB/s", kibi},
	{"B/s", 1},
}

// parseUnits parses a number followed by one of the units.
func parseUnits(text, kind, example string, units []unit) (int64, error) {
	text = strings.TrimSpace(text)
	names := make([]string, 0, len(units))
	for _, u := range units {
		names = append(names, u.suffix)
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		bytes := n * u.factor
		if err != nil || math.IsNaN(bytes) || bytes < 0 || bytes >= math.MaxInt64 {
			break
		}
		return int64(bytes), nil
	}
	return 0, fmt.Errorf("%q is not a %s with a unit such as %s (units: %s)", text, kind, example, strings.Join(names, ", "))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := parseUnits(string(text), "size", "64MiB", sizeUnits)
	if err == nil {
		*s = Size(n)
	}
	return err
}

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (s *Size) UnmarshalYAML(data []byte) error { return s.UnmarshalText(unquoteScalar(data)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(text []byte) error {
	n, err := parseUnits(string(text), "rate", "20Mbit/s", rateUnits)
	if err == nil {
		*r = Rate(n)
	}
	return err
}

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (r *Rate) UnmarshalYAML(data []byte) error { return r.UnmarshalText(unquoteScalar(data)) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%q is not a duration with a unit such as 500ms (units: us, ms, s, m, h)", text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (d *Duration) UnmarshalYAML(data []byte) error { return d.UnmarshalText(unquoteScalar(data)) }

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// unquoteScalar removes the quotes around a YAML scalar.
func unquoteScalar(data []byte) []byte {
	return []byte(strings.Trim(strings.TrimSpace(string(data)), `"'`))
}
