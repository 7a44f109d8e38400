package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbhill/rhubarbhill/internal/agent"
	"github.com/rhubarbhill/rhubarbhill/internal/control"
	"github.com/rhubarbhill/rhubarbhill/internal/entry"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// installedPath matches paths that exist only on an installed machine.
var installedPath = regexp.MustCompile(`/(etc|var)/[^\s]+`)

// Guards against example files that a daemon rejects, that omit a setting, or that
// set one without a comment above it.
func TestDeploymentExamples(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), 10)
	for _, path := range files {
		t.Run(strings.TrimPrefix(path, "../../"), func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			entrySettings, controlSettings, agentSettings := entry.DefaultSettings(), control.DefaultSettings(), agent.DefaultSettings()
			var out settings.Checker = &agentSettings
			switch filepath.Base(path) {
			case "entry.yaml":
				out = &entrySettings
			case "control.yaml":
				out = &controlSettings
			}
			dir := t.TempDir()
			text := installedPath.ReplaceAllStringFunc(string(data), func(installed string) string {
				local := filepath.Join(dir, filepath.Base(installed))
				if strings.HasSuffix(installed, "-token") {
					is.NoErr(os.WriteFile(local, []byte("token-of-the-example"), 0o600))
				}
				return local
			})
			is.NoErr(settings.Decode([]byte(text), out))
			for _, field := range yamlFields(reflect.TypeOf(out).Elem()) {
				if agentSettings.Kind == "service" && engineOnly[field] || agentSettings.Kind == "engine" && field == "service" {
					continue
				}
				if !strings.Contains(text, "\n"+field+":") {
					t.Errorf("%s is not shown", field)
				}
			}
			checkComments(t, text)
		})
	}
}

// engineOnly lists the agent's settings that do not apply to a plain service.
var engineOnly = map[string]bool{
	"role": true, "peer_listen": true, "advertise_peer": true, "cache_dir": true, "store": true, "origin": true,
	"objective": true, "region_links": true, "download_rate": true, "upload_rate": true, "order_timeout": true, "token_latency": true,
}

func yamlFields(structure reflect.Type) []string {
	var names []string
	for i := range structure.NumField() {
		name, options, _ := strings.Cut(structure.Field(i).Tag.Get("yaml"), ",")
		if options == "inline" {
			names = append(names, yamlFields(structure.Field(i).Type)...)
			continue
		}
		names = append(names, name)
	}
	return names
}

// checkComments reports fields without a comment directly above them or above their
// group of fields.
func checkComments(t *testing.T, text string) {
	t.Helper()
	commented := false
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case line == "":
			commented = false
		case strings.HasPrefix(line, "#"):
			commented = true
		case !strings.HasPrefix(line, " ") && !commented:
			t.Errorf("%q has no comment", line)
		}
	}
}

// Guards against a settings file that makes a daemon panic at its start instead of
// listing the problems.
func FuzzDaemonSettings(f *testing.F) {
	files, err := filepath.Glob("../../deploy/*/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entrySettings, controlSettings, agentSettings := entry.DefaultSettings(), control.DefaultSettings(), agent.DefaultSettings()
		for _, out := range []settings.Checker{&entrySettings, &controlSettings, &agentSettings} {
			if settings.Decode(data, out) == nil && out.Check() != nil {
				t.Errorf("%T accepted although its check fails: %q", out, data)
			}
		}
	})
}
