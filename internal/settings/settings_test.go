package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type common struct {
	Instance string `yaml:"instance"`
}

type example struct {
	Common  common            `yaml:",inline"`
	Listen  string            `yaml:"listen"`
	Peers   []string          `yaml:"peers"`
	Token   string            `yaml:"token_file"`
	Cache   Size              `yaml:"cache"`
	Link    Rate              `yaml:"link"`
	Wait    Duration          `yaml:"wait"`
	Mode    string            `yaml:"mode"`
	Backend string            `yaml:"backend"`
	Voters  map[string]string `yaml:"voters"`
}

func (e *example) Check() error {
	var p Problems
	p.Required("instance", e.Common.Instance)
	p.Address("listen", e.Listen)
	p.Addresses("peers", e.Peers)
	p.TokenFile("token_file", e.Token)
	p.Positive("cache", int64(e.Cache))
	p.OneOf("mode", e.Mode, "time", "origin-bytes")
	p.URL("backend", e.Backend)
	return p.Err()
}

func tokenFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "token")
	is.New(t).NoErr(os.WriteFile(path, []byte("token-of-the-test"), 0o600))
	return path
}

const valid = `# comment
instance: a
listen: 127.0.0.1:80 # comment
peers: ["[::1]:80", 10.0.0.1:81]
cache: 64MiB
link: "20Mbit/s"
wait: 250ms
mode: time
backend: http://127.0.0.1:8000
voters: {a: 10.0.0.1:1}
`

func TestDecode(t *testing.T) {
	is := is.New(t)
	var e example
	is.NoErr(Decode([]byte(valid+"token_file: "+tokenFile(t)), &e))
	is.Equal(e.Common.Instance, "a")
	is.Equal(e.Cache, Size(64<<20))
	is.Equal(e.Link, Rate(2_500_000))
	is.Equal(e.Wait.Std(), 250*time.Millisecond)
	is.Equal(e.Voters["a"], "10.0.0.1:1")
}

// Guards against accepting an invalid file, and against errors that do not give the
// position or the field.
func TestDecodeProblems(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown field":      {"wait: 250ms", "wiat: 250ms", "line 7, column 1: wiat: unknown field"},
		"size without unit":  {"cache: 64MiB", "cache: 64", `line 5, column 8: cache: "64" is not a size with a unit`},
		"wrong unit":         {"cache: 64MiB", "cache: 64ms", "(units: GiB, MiB, KiB, B)"},
		"negative size":      {"cache: 64MiB", "cache: -1B", "is not a size"},
		"huge size":          {"cache: 64MiB", "cache: 99999999999GiB", "is not a size"},
		"rate of size":       {"20Mbit/s", "20MiB", `link: "20MiB" is not a rate with a unit such as 20Mbit/s`},
		"duration no unit":   {"wait: 250ms", "wait: 250", `"250" is not a duration with a unit such as 500ms`},
		"wrong type":         {"peers: [\"[::1]:80\", 10.0.0.1:81]", "peers: {a: b}", "peers:"},
		"name for address":   {"listen: 127.0.0.1:80", "listen: localhost:80", `listen: "localhost:80" is not an IP address and port`},
		"address, no port":   {"listen: 127.0.0.1:80", "listen: 127.0.0.1", `listen: "127.0.0.1" is not an IP address and port`},
		"no address":         {"listen: 127.0.0.1:80", "", "listen: is required"},
		"repeated peer":      {"\"[::1]:80\"", "10.0.0.1:81", `peers[1]: "10.0.0.1:81" is given twice`},
		"no peers":           {"peers: [\"[::1]:80\", 10.0.0.1:81]", "peers: []", "peers: needs at least one"},
		"choice":             {"mode: time", "mode: speed", `mode: "speed" is not one of time, origin-bytes`},
		"URL without scheme": {"http://127.0.0.1:8000", "127.0.0.1:8000", "backend:"},
		"URL with name":      {"http://127.0.0.1:8000", "http://engine:8000", "backend:"},
		"repeated field":     {"mode: time", "mode: time\nmode: time", "line"},
		"two documents":      {"mode: time", "mode: time\n---\na: b", "2 YAML documents"},
		"not YAML":           {"mode: time", "mode: [", "line"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := valid + "token_file: " + tokenFile(t)
			is.True(strings.Contains(text, c.from))
			err := Decode([]byte(strings.Replace(text, c.from, c.to, 1)), &example{})
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a token file that passes the check of the settings but cannot be read
// as a token at the start.
func TestTokenFiles(t *testing.T) {
	is := is.New(t)
	short := filepath.Join(t.TempDir(), "short")
	is.NoErr(os.WriteFile(short, []byte("x"), 0o600))
	for _, path := range []string{"", short, short + "-missing"} {
		var p Problems
		p.TokenFile("token_file", path)
		is.True(p.Err() != nil && strings.HasPrefix(p.Err().Error(), "token_file: "))
	}
}

// Guards against a problem that hides another one, and against a problem that is
// reported twice.
func TestDecodeReportsAllProblems(t *testing.T) {
	is := is.New(t)
	missing := filepath.Join(t.TempDir(), "none")
	err := Load(missing, &example{})
	is.True(err != nil && strings.Contains(err.Error(), missing))

	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := "instanse: a\nlisten: [1]\ncache: 1\nwait: x\nmode: time\nbackend: http://127.0.0.1:1\ntoken_file: " + missing + "\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	err = Load(path, &example{})
	is.True(err != nil)
	t.Log(err)
	for _, field := range []string{"instanse", "instance", "listen", "cache", "wait", "peers", "token_file"} {
		is.Equal(strings.Count(err.Error(), field+": "), 1) // once each
	}
	is.True(strings.Contains(err.Error(), path))
}

// Guards against a deeply nested settings file that keeps the parser busy for
// minutes at the start.
func TestNestingIsBounded(t *testing.T) {
	err := Decode([]byte("peers: "+strings.Repeat("[", 10_000)), &example{})
	is.New(t).True(err != nil && strings.Contains(err.Error(), "nested deeper"))
}

// Guards against numbers that the parser changes, such as a name 1.10 that was
// read as 1.1, and against errors that mention Go types.
func TestNumbersAndTypes(t *testing.T) {
	for text, want := range map[string]string{
		"instance: 1.10\n":     "line 1, column 11: instance: 1.10 would be read as 1.1: write it in quotes",
		"voters: {a: 0x10}\n":  "line 1, column 9: voters: 0x10 would be read as 16: write it in quotes",
		"instance: [a]\n":      "line 1, column 11: instance: must be text, not a list",
		"peers: {a: b}\n":      "line 1, column 8: peers: must be a list, not a mapping",
		"instance: \"1.10\"\n": "listen: is required: an IP address and port such as 10.0.0.1:7400",
	} {
		err := Decode([]byte(text), &example{})
		is.New(t).True(err != nil)
		first, _, _ := strings.Cut(err.Error(), "\n")
		is.New(t).Equal(first, want)
	}
}

// Guards against settings files that make the parser panic or hang.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{valid, "", "#", "a", "- a", "a: &x [*x]", "<<: {a: b}", "? a", "listen: !!binary x", "\xff", "peers: [[[[", "wait: 1e99h", "a:\n- b: |\n  c"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e example
		if Decode(data, &e) == nil && e.Check() != nil {
			t.Errorf("accepted settings that do not pass their check: %q", data)
		}
	})
}
