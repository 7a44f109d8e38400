package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

// Checker is implemented by settings types. Check returns every problem found,
// each naming its field.
type Checker interface {
	Check() error
}

// Load reads the YAML file at path into out, which holds the defaults, and
// checks it. Unknown fields are errors that name line and column.
func Load(path string, out Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("settings").Wrap(err)
	}
	if err := Decode(data, out); err != nil {
		return oops.In("settings").Wrapf(err, "%s", path)
	}
	return nil
}

// Decode parses data strictly into out and checks it.
func Decode(data []byte, out Checker) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return errors.New(yaml.FormatError(err, false, true))
	}
	return out.Check()
}

// Size is a number of bytes, written with a unit: "64MiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (s *Size) UnmarshalYAML(data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 {
			break
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size with a unit such as 64MiB (units: B, KiB, MiB, GiB)", text)
}
