package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/settings"
)

// Errors of explanations. Each has its own exit code.
var (
	ErrWouldWait      = errors.New("the request would wait")
	ErrWouldBeRefused = errors.New("the request would be refused")
	ErrNotReached     = errors.New("not reached")
)

type explainRequest struct {
	Entry        string            `required:"" help:"Admin address (IP:port) of the entry." placeholder:"IP:PORT"`
	Host         string            `required:"" help:"Host that the caller asks for."`
	Path         string            `required:"" help:"Path of the request, with its query."`
	Key          string            `help:"API key of the caller." env:"RHUBARB_API_KEY"`
	Method       string            `help:"Method of the request." default:"POST"`
	ID           string            `name:"id" help:"Request ID, which selects one target of a split. Without it, all are explained."`
	Model        string            `help:"Model that the caller asks for."`
	PromptTokens int               `help:"Tokens of the prompt."`
	LengthHint   int               `help:"Expected tokens of the answer."`
	Deadline     settings.Duration `help:"How long the caller waits. Default: the time limit of the route."`
	Parts        []string          `help:"Parts of the prompt, by the IDs that the caller states." placeholder:"ID"`
}

// Run implements the command.
func (c *explainRequest) Run(s *session) error {
	if err := c.check(); err != nil {
		return err
	}
	query := explain.Query{
		Host: c.Host, Path: c.Path, Method: c.Method, Key: c.Key, ID: c.ID, Model: c.Model, PromptTokens: c.PromptTokens, LengthHint: c.LengthHint,
		DeadlineMs: c.Deadline.Std().Milliseconds(), Parts: c.Parts,
	}
	var answer explain.Request
	if err := s.explain(c.Entry, http.MethodPost, explain.PathRequest, query, &answer, func(w io.Writer) { requestTable(w, answer) }); err != nil {
		return err
	}
	return outcomeError(answer)
}

func (c *explainRequest) check() error {
	var problems settings.Problems
	problems.Address("--entry", c.Entry)
	problems.Required("--host", c.Host)
	if !strings.HasPrefix(c.Path, "/") {
		problems.Add("--path", "must begin with a slash, got %q", c.Path)
	}
	if c.PromptTokens < 0 {
		problems.Add("--prompt-tokens", "must not be negative, got %d", c.PromptTokens)
	}
	if c.LengthHint < 0 {
		problems.Add("--length-hint", "must not be negative, got %d", c.LengthHint)
	}
	return asBadInput(&problems)
}

// outcomeError returns the error for the least favourable outcome of an explanation.
func outcomeError(answer explain.Request) error {
	refused := answer.Refusal
	waits := false
	for _, t := range answer.Targets {
		waits = waits || t.Outcome == explain.Queued
		if t.Outcome == explain.Refused && refused == nil {
			refused = t.Refusal
		}
	}
	switch {
	case refused != nil:
		return oops.In("operator").Wrapf(ErrWouldBeRefused, "%s", refused.Reason)
	case waits:
		return oops.In("operator").Wrap(ErrWouldWait)
	}
	return nil
}

type explainLoad struct {
	Stager string `required:"" help:"Admin address (IP:port) of the stager." placeholder:"IP:PORT"`
}

// Run implements the command.
func (c *explainLoad) Run(s *session) error {
	var problems settings.Problems
	problems.Address("--stager", c.Stager)
	if err := asBadInput(&problems); err != nil {
		return err
	}
	var answer explain.Load
	return s.explain(c.Stager, http.MethodGet, explain.PathLoad, nil, &answer, func(w io.Writer) { loadTable(w, answer) })
}

// explain gets an explanation from an admin port and prints it as JSON or with table. A nil body
// sends none.
func (s *session) explain(address, method, path string, body, out any, table func(io.Writer)) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	text, err := askAdmin(ctx, address, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, out); err != nil {
		return oops.In("operator").Wrapf(err, "%s: answer", address)
	}
	if s.cli.JSON {
		_, err = fmt.Fprintln(s.out, string(bytes.TrimSpace(text)))
		return oops.In("operator").Wrap(err)
	}
	return printTable(s.out, table)
}

// askAdmin calls an admin port. It sends no token, since admin ports take none.
func askAdmin(ctx context.Context, address, method, path string, body any) ([]byte, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, oops.In("operator").Wrap(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, oops.In("operator").Wrapf(ErrBadInput, "%v", err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, oops.In("operator").Wrapf(ErrNotReached, "%s: %v", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return nil, oops.In("operator").Wrapf(ErrNotReached, "%s: %v", address, err)
	case response.StatusCode == http.StatusBadRequest:
		return nil, oops.In("operator").Wrapf(ErrBadInput, "%s: %s", address, bytes.TrimSpace(text))
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusMethodNotAllowed:
		return nil, oops.In("operator").Wrapf(ErrBadInput, "%s: status %d: not an admin port that explains this", address, response.StatusCode)
	case response.StatusCode != http.StatusOK:
		return nil, oops.In("operator").Wrapf(ErrNotReached, "%s: status %d", address, response.StatusCode)
	}
	return text, nil
}

func requestTable(w io.Writer, r explain.Request) {
	row(w, "entry", fmt.Sprintf("%s, %s, routing document %d", r.Entry, r.At.UTC().Format(time.RFC3339Nano), r.Routing))
	if r.Route != "" {
		row(w, "route", fmt.Sprintf("%s (%s)", r.Route, r.Kind))
		row(w, "organisation", orDash(r.Organisation))
		row(w, "rank", fmt.Sprintf("%d (0 is the highest), %d at engines", r.Rank, r.Level))
		regions := "any"
		if r.RegionsBound {
			regions = strings.Join(append([]string{"only"}, r.Regions...), " ")
			if len(r.Regions) == 0 {
				regions = "none"
			}
		}
		row(w, "regions", regions)
		row(w, "weights", fmt.Sprintf("version %d required, %d soon", r.RequiredVersion, r.SoonRequiredVersion))
	}
	refusalRow(w, r.Refusal)
	for _, t := range r.Targets {
		row(w)
		targetTable(w, t)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func refusalRow(w io.Writer, r *explain.Refusal) {
	if r == nil {
		return
	}
	text := fmt.Sprintf("%s, status %d", r.Reason, r.Status)
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf(", Retry-After %.3f s", float64(r.RetryAfterMs)/1000)
	}
	if r.JitterMs > 0 {
		text += fmt.Sprintf(" plus up to %d ms", r.JitterMs)
	}
	row(w, "refused", text)
}

func targetTable(w io.Writer, t explain.Target) {
	row(w, "target", fmt.Sprintf("%s, share %.0f %%", t.Service, 100*t.Share))
	switch t.Outcome {
	case explain.Placed:
		row(w, "placed", t.Endpoint)
	case explain.Queued:
		row(w, "waits", fmt.Sprintf("%s; about %d ms of at most %d", t.Why, t.WaitMs, t.MaxWaitMs))
	default:
		refusalRow(w, t.Refusal)
	}
	if len(t.Suspects) > 0 {
		row(w, "suspect parts", strings.Join(t.Suspects, " "))
	}
	if t.Quarantined != "" {
		row(w, "quarantined part", t.Quarantined)
	}
	for _, v := range t.Views {
		viewTable(w, v)
	}
}

func viewTable(w io.Writer, v explain.View) {
	name := v.Name
	if v.Group != "" {
		name += " of group " + v.Group
	}
	if v.Permit != "" {
		name += ", permit for " + v.Permit
	}
	if !v.Answered {
		row(w, v.By, fmt.Sprintf("%s did not answer within %d ms", name, v.AgeMs))
		return
	}
	p := v.Placement
	text := p.Verdict
	if p.Group != "" {
		text += " to group " + p.Group
	}
	for _, extra := range []string{p.Hold, map[bool]string{true: "late"}[p.Late]} {
		if extra != "" {
			text += ", " + extra
		}
	}
	row(w, v.By, fmt.Sprintf("%s: %s", name, text))
	age := fmt.Sprintf("answer of up to %d ms ago, list of endpoints of %d ms ago", v.AgeMs, p.ListAgeMs)
	if p.Entries > 0 {
		age += fmt.Sprintf(", reports of %d entries, the oldest of %d ms ago", p.Entries, p.OldestReportMs)
	}
	row(w, "knowledge", age)
	queue := make([]string, len(p.Queue))
	for i, q := range p.Queue {
		queue[i] = fmt.Sprintf("%s rank %d: %d", q.Class, q.Rank, q.Waiting)
	}
	row(w, "queue", fmt.Sprintf("%d ahead; %s", p.Ahead, orDash(strings.Join(queue, ", "))))
	if p.SlotIntervalMs > 0 {
		row(w, "next slot", fmt.Sprintf("one every %.0f ms", p.SlotIntervalMs))
	}
	if p.JitterMs > 0 {
		row(w, "jitter", fmt.Sprintf("up to %d ms are added to each time at random", p.JitterMs))
	}
	row(w, "ENDPOINT", "ZONE", "REGION", "VERSION", "SLOTS", "PENDING", "FIRST EVENT", "LAG", "PACE", "PENALTIES", "NOT USABLE")
	for _, e := range p.Endpoints {
		reason := orDash(e.NotUsable)
		if e.EndsInMs > 0 {
			reason += fmt.Sprintf(", for %d ms", e.EndsInMs)
		}
		row(w, e.ID, e.Zone, orDash(e.Region), e.Version, fmt.Sprintf("%d/%d/%d", e.Running, e.UsableSlots, e.Slots), fmt.Sprintf("%d (%d tokens)", e.Pending, e.PrefillTokens),
			fmt.Sprintf("%d ms", e.FirstEventMs), fmt.Sprintf("%d ms", e.LagMs), fmt.Sprintf("%.2f", e.Pace), penalties(e), reason)
	}
	if p.Omitted > 0 {
		row(w, fmt.Sprintf("and %d more", p.Omitted))
	}
}

func penalties(e explain.Endpoint) string {
	var list []string
	for _, p := range []struct {
		name string
		ms   int64
	}{{"zone", e.ZonePenaltyMs}, {"version", e.VersionPenaltyMs}, {"suspect", e.SuspectPenaltyMs}} {
		if p.ms > 0 {
			list = append(list, fmt.Sprintf("%s %d ms", p.name, p.ms))
		}
	}
	return orDash(strings.Join(list, ", "))
}

func loadTable(w io.Writer, l explain.Load) {
	row(w, "stager", fmt.Sprintf("%s, %s", l.Stager, l.At.UTC().Format(time.RFC3339Nano)))
	row(w, "engine", l.Engine)
	row(w, "model", orDash(l.Model))
	row(w, "loaded", l.Loaded)
	if l.ReportAgeMs >= 0 {
		row(w, "engine report", fmt.Sprintf("%d ms old, loading %t, weights verified %t", l.ReportAgeMs, l.Loading, l.Trusted))
	}
	row(w, "next step", l.Step)
	row(w, "why", l.Why)
	if l.Next > 0 {
		row(w, "next version", fmt.Sprintf("%d, due in %d ms, turn %.2f", l.Next, l.DueInMs, l.Turn))
	}
	row(w, "VERSION", "NAMED", "PIECES", "COMPLETE", "FETCHING")
	for _, v := range slices.Backward(l.Versions) {
		named, complete := "-", "-"
		if v.Named {
			named = "yes"
			if v.NamedAgeMs > 0 {
				named = fmt.Sprintf("%d ms ago", v.NamedAgeMs)
			}
		}
		if v.Complete {
			complete = fmt.Sprintf("%d ms ago", v.CompleteAgeMs)
		}
		row(w, v.Version, named, fmt.Sprintf("%d/%d", v.Pieces, v.Total), complete, v.Fetching)
	}
}
