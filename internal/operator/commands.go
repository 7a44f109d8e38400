package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/auth"
	"github.com/rhubarbhill/rhubarbhill/internal/daemon"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Exit codes of rhubarbctl.
const (
	ExitOK          = 0 // accepted, valid, or shown
	ExitInternal    = 1 // internal error, or malformed answer
	ExitRefused     = 2 // the note or order was refused
	ExitUnknown     = 3 // the note or order may have been accepted: send it again
	ExitBadInput    = 4 // command line, token, or note is wrong
	ExitUnreachable = 5 // no control replica answered; the note or order was not accepted
	ExitNotInForce  = 6 // accepted, but not in force within the wait timeout
	ExitWouldWait   = 7 // explained: the request would wait for a slot
	ExitWouldRefuse = 8 // explained: the request would be refused
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	codes := []struct {
		err  error
		code int
	}{
		{ErrUnknown, ExitUnknown},
		{ErrRefused, ExitRefused},
		{ErrBadInput, ExitBadInput},
		{ErrUnreachable, ExitUnreachable},
		{ErrNotInForce, ExitNotInForce},
		{ErrNotReached, ExitUnreachable},
		{ErrWouldWait, ExitWouldWait},
		{ErrWouldBeRefused, ExitWouldRefuse},
	}
	if err == nil {
		return ExitOK
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return ExitInternal
}

// CLI is the command line of rhubarbctl.
type CLI struct {
	Control   []string          `help:"Operator addresses (IP:port) of control replicas." env:"RHUBARB_CONTROL" placeholder:"IP:PORT"`
	TokenFile string            `help:"File with the operator token." env:"RHUBARB_TOKEN_FILE" type:"path"`
	Timeout   settings.Duration `help:"Time limit of a command, waiting aside." default:"15s"`
	Attempt   settings.Duration `help:"Time limit of one call to one replica." default:"2s"`
	JSON      bool              `name:"json" help:"Print JSON instead of tables."`
	Version   kong.VersionFlag  `help:"Print the version and exit."`

	Note struct {
		Check noteCheck `cmd:"" help:"Check a release note without submitting it."`
		Diff  noteDiff  `cmd:"" help:"Show what a release note would change."`
	} `cmd:"" help:"Look at a release note."`
	Apply   applyCommand  `cmd:"" help:"Submit a release note."`
	Status  statusCommand `cmd:"" help:"Show replicas, revision and catalogue."`
	Rollout struct {
		Watch rolloutWatch `cmd:"" help:"Follow the rollout until every endpoint serves its sets."`
	} `cmd:"" help:"Look at the rollout."`
	Explain struct {
		Request explainRequest `cmd:"" help:"Explain where an entry would send a request now, without sending it."`
		Load    explainLoad    `cmd:"" help:"Explain which weights a stager would load next."`
	} `cmd:"" help:"Explain decisions of one process."`
	Endpoints  endpointsCommand  `cmd:"" help:"List endpoints."`
	Evacuate   evacuateCommand   `cmd:"" help:"Start or end the evacuation of a zone."`
	Quarantine quarantineCommand `cmd:"" help:"List suspected and quarantined requests."`
	Outcome    outcomeCommand    `cmd:"" help:"Show the outcome of a call by its idempotency key."`
}

// session holds the state that a command runs with.
type session struct {
	ctx     context.Context
	cli     *CLI
	client  *Client
	out     io.Writer
	errOut  io.Writer
	timeout time.Duration
}

// withTimeout returns a context with the timeout of the command.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.timeout)
}

// show reads a document and prints it as JSON or with table.
func (s *session) show(path string, query url.Values, out any, table func(io.Writer)) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	document, err := s.client.Get(ctx, path, query, out)
	if err != nil {
		return err
	}
	if !document.Current {
		_, _ = fmt.Fprintf(s.errOut, "rhubarbctl: no replica leads with a quorum; this is what %s last knew\n", document.Replica)
	}
	if s.cli.JSON {
		_, err = fmt.Fprintln(s.out, string(document.Text))
		return oops.In("operator").Wrap(err)
	}
	return printTable(s.out, table)
}

// Main runs rhubarbctl and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	cli := &CLI{}
	exited := -1
	parser, err := kong.New(cli, kong.Name("rhubarbctl"), kong.Writers(out, errOut),
		kong.Description("Operates a rhubarbhill deployment through its control replicas."),
		kong.Vars{"version": daemon.Version("rhubarbctl")},
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rhubarbctl:", err)
		return ExitInternal
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 { // --help, --version
		return exited
	}
	if err == nil {
		var s *session
		if s, err = newSession(ctx, cli, !strings.HasPrefix(parsed.Command(), "explain "), out, errOut); err == nil {
			err = parsed.Run(s)
		}
	} else {
		err = oops.In("operator").Wrapf(ErrBadInput, "%v", err)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "rhubarbctl:", err)
	}
	return ExitCode(err)
}

// newSession checks the flags of all commands. Those that do not ask the control replicas need
// neither addresses nor a token.
func newSession(ctx context.Context, cli *CLI, control bool, out, errOut io.Writer) (*session, error) {
	var problems settings.Problems
	if !control {
		checkPositive(&problems, "--timeout", cli.Timeout)
		return &session{ctx: ctx, cli: cli, out: out, errOut: errOut, timeout: cli.Timeout.Std()}, asBadInput(&problems)
	}
	if len(cli.Control) == 0 {
		problems.Add("--control", "is required (or RHUBARB_CONTROL)")
	}
	for _, address := range cli.Control {
		problems.Address("--control", address)
	}
	if cli.TokenFile == "" {
		problems.Add("--token-file", "is required (or RHUBARB_TOKEN_FILE)")
	}
	token, err := auth.ReadToken(cli.TokenFile)
	if err != nil && cli.TokenFile != "" {
		problems.Add("--token-file", "%v", err)
	}
	checkPositive(&problems, "--timeout", cli.Timeout)
	checkPositive(&problems, "--attempt", cli.Attempt)
	if err := asBadInput(&problems); err != nil {
		return nil, err
	}
	client := &Client{
		Replicas: cli.Control, Token: token, AttemptTimeout: cli.Attempt.Std(),
		HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	return &session{ctx: ctx, cli: cli, client: client, out: out, errOut: errOut, timeout: cli.Timeout.Std()}, nil
}

// checkPositive rejects a zero duration, with which every call would time out at once.
func checkPositive(problems *settings.Problems, flag string, d settings.Duration) {
	if d == 0 {
		problems.Add(flag, "must be above 0s")
	}
}

func asBadInput(problems *settings.Problems) error {
	if err := problems.Err(); err != nil {
		return oops.In("operator").Wrapf(ErrBadInput, "%v", err)
	}
	return nil
}

func readNote(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("operator").Wrapf(ErrBadInput, "%v", err)
	}
	return data, nil
}

// validNote reads and parses a note, and prints the problems of an invalid one.
func (s *session) validNote(path string) (data []byte, document *release.Document, err error) {
	if data, err = readNote(path); err != nil {
		return nil, nil, err
	}
	if document, err = release.Parse(data); err != nil {
		return nil, nil, s.printInvalid(err)
	}
	return data, document, nil
}

type noteCheck struct {
	File string `arg:"" help:"Release note, YAML."`
}

// Run implements the command.
func (c *noteCheck) Run(s *session) error {
	note, _, err := s.validNote(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	answer, err := s.client.Check(ctx, note)
	return s.printNote(answer, err)
}

type applyCommand struct {
	File        string            `arg:"" help:"Release note, YAML."`
	Wait        bool              `help:"Wait until the note is in force on every known instance."`
	WaitTimeout settings.Duration `help:"Longest wait." default:"30s"`
	Poll        settings.Duration `help:"Time between questions while waiting." default:"200ms"`
}

// Run implements the command.
func (c *applyCommand) Run(s *session) error {
	var problems settings.Problems
	checkPositive(&problems, "--wait-timeout", c.WaitTimeout)
	checkPositive(&problems, "--poll", c.Poll)
	if err := asBadInput(&problems); err != nil {
		return err
	}
	note, _, err := s.validNote(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	answer, err := s.client.Submit(ctx, note)
	if err := s.printNote(answer, err); err != nil || !c.Wait {
		return err
	}
	waiting, stop := context.WithTimeout(s.ctx, c.WaitTimeout.Std())
	defer stop()
	if err := s.client.WaitInForce(waiting, answer.Number, c.Poll.Std()); err != nil {
		return err
	}
	if !s.cli.JSON {
		_, err = fmt.Fprintf(s.out, "note %d is in force\n", answer.Number)
	}
	return oops.In("operator").Wrap(err)
}

type evacuateCommand struct {
	Zone   string `arg:"" help:"Availability zone."`
	Finish bool   `help:"End the evacuation: return the zone to service."`
}

// Run implements the command.
func (c *evacuateCommand) Run(s *session) error {
	var problems settings.Problems
	problems.Required("zone", c.Zone)
	if err := asBadInput(&problems); err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	return s.printNote(s.client.Evacuate(ctx, EvacuationOrder{Zone: c.Zone, Evacuate: !c.Finish}))
}

type statusCommand struct{}

// Run implements the command.
func (*statusCommand) Run(s *session) error {
	var status Status
	return s.show(PathStatus, nil, &status, func(w io.Writer) { statusTable(w, status) })
}

type endpointsCommand struct{}

// Run implements the command.
func (*endpointsCommand) Run(s *session) error {
	var endpoints Endpoints
	return s.show(PathEndpoints, nil, &endpoints, func(w io.Writer) { endpointsTable(w, endpoints) })
}

type quarantineCommand struct{}

// Run implements the command.
func (*quarantineCommand) Run(s *session) error {
	var quarantine Quarantine
	return s.show(PathQuarantine, nil, &quarantine, func(w io.Writer) { quarantineTable(w, quarantine) })
}

type outcomeCommand struct {
	Key          string `arg:"" help:"Idempotency key."`
	Organisation string `required:"" help:"Organisation that used the key."`
}

// Run implements the command.
func (c *outcomeCommand) Run(s *session) error {
	location, query, err := c.location()
	if err != nil {
		return err
	}
	var outcome Outcome
	return s.show(location, query, &outcome, func(w io.Writer) { outcomeTable(w, outcome) })
}

// location returns the path and query for the key. The operator API takes the first
// segment of a path of two as the organisation, and cleans paths.
func (c *outcomeCommand) location() (string, url.Values, error) {
	var problems settings.Problems
	problems.Required("key", c.Key)
	problems.Required("--organisation", c.Organisation)
	if c.Key != "" && path.Clean("/"+c.Key) != "/"+c.Key {
		problems.Add("key", "%q cannot be asked for: it has an empty part, . or ..", c.Key)
	}
	slash := strings.Contains(c.Key, "/")
	if slash && strings.Contains(c.Organisation, "/") {
		problems.Add("--organisation", "%q cannot be asked for with this key: both contain /", c.Organisation)
	}
	if err := asBadInput(&problems); err != nil {
		return "", nil, err
	}
	if slash {
		return PathOutcomes + url.PathEscape(c.Organisation) + "/" + url.PathEscape(c.Key), nil, nil
	}
	return PathOutcomes + url.PathEscape(c.Key), url.Values{"organisation": {c.Organisation}}, nil
}

type rolloutWatch struct {
	Once bool              `help:"Show the present state and exit."`
	Poll settings.Duration `help:"Time between questions." default:"1s"`
}

// Run implements the command.
func (c *rolloutWatch) Run(s *session) error {
	var problems settings.Problems
	checkPositive(&problems, "--poll", c.Poll)
	if err := asBadInput(&problems); err != nil {
		return err
	}
	for {
		var rollout Rollout
		err := s.show(PathRollout, nil, &rollout, func(w io.Writer) { rolloutTable(w, rollout) })
		if c.Once || (err == nil && rollout.complete()) {
			return err
		}
		if err != nil && !errors.Is(err, ErrUnreachable) {
			return err
		}
		select {
		case <-s.ctx.Done():
			return oops.In("operator").Wrapf(ErrNotInForce, "stopped")
		case <-time.After(c.Poll.Std()):
		}
	}
}

// complete reports whether every endpoint serves its sets.
func (r Rollout) complete() bool {
	for _, set := range r.Sets {
		if set.Live < set.Total {
			return false
		}
	}
	return r.InForce
}

type noteDiff struct {
	File string `arg:"" help:"Release note, YAML."`
}

// Run implements the command. It shows changes against the catalogue of the
// replica that answers.
func (c *noteDiff) Run(s *session) error {
	_, document, err := s.validNote(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var status Status
	if _, err := s.client.Get(ctx, PathStatus, nil, &status); err != nil {
		return err
	}
	before := release.NewCatalogue()
	if status.Catalogue != nil {
		before = *status.Catalogue
	}
	if err := document.Check(before); err != nil {
		return s.printRefused(err)
	}
	after, _, err := release.Apply(document.Note, before)
	if err != nil {
		return s.printRefused(err)
	}
	return s.printChanges(diffCatalogues(before, after))
}
