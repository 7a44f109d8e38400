package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

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
