package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/release"
)

const (
	shortDigestLen = len("sha256:") + 12
	columnPadding  = 2
)

func printTable(out io.Writer, table func(io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	table(w)
	return oops.In("operator").Wrap(w.Flush())
}

// row writes one row of a table.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = io.WriteString(w, "\n")
}

func shortenDigest(digest string) string {
	return digest[:min(len(digest), shortDigestLen)]
}

// printNote prints the answer about a note and returns err.
func (s *session) printNote(a NoteAnswer, err error) error {
	if a.Status == "" {
		return err
	}
	if s.cli.JSON {
		if writeErr := json.NewEncoder(s.out).Encode(a); err == nil {
			return oops.In("operator").Wrap(writeErr)
		}
		return err
	}
	writeErr := printTable(s.out, func(w io.Writer) {
		row(w, "status", a.Status)
		if a.Number != 0 {
			row(w, "number", a.Number)
		}
		if a.Digest != "" {
			row(w, "digest", a.Digest)
		}
		if a.Reason != "" {
			row(w, "reason", a.Reason)
		}
		for _, p := range a.Problems {
			row(w, "problem", p.Error())
		}
	})
	if err == nil {
		return writeErr
	}
	return err
}

// printRefused prints why a note does not fit the catalogue.
func (s *session) printRefused(err error) error {
	refused := NoteAnswer{Status: NoteInvalid, Problems: release.Problems(err)}
	return s.printNote(refused, oops.In("operator").Wrapf(ErrRefused, "note does not fit the catalogue"))
}

// printInvalid prints the problems of a note that was not sent.
func (s *session) printInvalid(err error) error {
	invalid := NoteAnswer{Status: NoteInvalid, Problems: release.Problems(err)}
	return s.printNote(invalid, oops.In("operator").Wrapf(ErrBadInput, "note is invalid"))
}

func (s *session) printChanges(list []Change) error {
	if s.cli.JSON {
		return oops.In("operator").Wrap(json.NewEncoder(s.out).Encode(list))
	}
	return printTable(s.out, func(w io.Writer) {
		row(w, "CHANGE", "KIND", "NAME", "BEFORE", "AFTER")
		for _, c := range list {
			row(w, c.Change, c.Kind, c.Name, c.Before, c.After)
		}
	})
}

func statusTable(w io.Writer, s Status) {
	row(w, "replica", s.Replica)
	row(w, "leader", s.Leader)
	row(w, "term", s.Term)
	row(w, "voters", strings.Join(s.Voters, " "))
	row(w, "learners", strings.Join(s.Learners, " "))
	row(w, "revision", s.Revision)
	row(w, "in force", s.InForceRevision)
	if len(s.WaitingFor) > 0 {
		row(w, "waiting for", strings.Join(s.WaitingFor, " "))
	}
	row(w, "digest", s.Digest)
	for _, e := range s.Evacuated {
		row(w, "evacuated", fmt.Sprintf("%s since %s (%s)", e.Zone, e.Since.Format(time.RFC3339), (time.Duration(e.AgeMs)*time.Millisecond).Round(time.Second)))
	}
	if s.Catalogue == nil {
		return
	}
	row(w)
	row(w, "NAME", "VERSION", "ON", "LIVE", "MANIFEST")
	for _, name := range slices.Sorted(maps.Keys(s.Catalogue.Models)) {
		m := s.Catalogue.Models[name]
		row(w, name, m.Version, "role "+m.Role, s.formatLive(name), shortenDigest(string(m.Manifest)))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Catalogue.Adapters)) {
		a := s.Catalogue.Adapters[name]
		row(w, name, a.Version, "base "+a.Base, s.formatLive(a.Base), shortenDigest(string(a.Manifest)))
	}
}

// formatLive formats the result of Live for a model.
func (s Status) formatLive(model string) string {
	live, total := s.Live(model)
	return fmt.Sprintf("%d/%d", live, total)
}

func endpointsTable(w io.Writer, e Endpoints) {
	row(w, "ENDPOINT", "KIND", "SERVES", "ZONE", "GATE", "STATE", "IN FLIGHT", "REVISION", "SETS")
	for _, p := range e.Endpoints {
		serves := p.Role
		if serves == "" {
			serves = p.Service
		}
		sets := make([]string, len(p.Sets))
		for i, s := range p.Sets {
			sets[i] = s.Model + "/" + s.Version
		}
		row(w, p.Endpoint, p.Kind, serves, p.Region+"/"+p.Zone, p.GateAddress, p.state(),
			fmt.Sprintf("%d/%d", p.InFlight, p.Capacity), p.Revision, strings.Join(sets, " "))
	}
}

func (e Endpoint) state() string {
	switch {
	case e.Draining:
		return "draining"
	case !e.Confirmed:
		return "no lease"
	case !e.Ready:
		return "not ready"
	}
	return "ready"
}

func quarantineTable(w io.Writer, q Quarantine) {
	row(w, "FINGERPRINT", "STATE", "UNTIL", "CRASHED")
	for _, r := range q.Requests {
		state := "suspect"
		if r.Quarantined {
			state = "quarantined"
		}
		row(w, r.Fingerprint, state, time.UnixMilli(r.Until).UTC().Format(time.RFC3339), strings.Join(r.Crashed, " "))
	}
}

func outcomeTable(w io.Writer, o Outcome) {
	outcome := o.Outcome
	if outcome == "" {
		outcome = "running"
	}
	row(w, "organisation", o.Organisation)
	row(w, "key", o.Key)
	row(w, "outcome", outcome)
	row(w, "status", o.Status)
	row(w, "attempt", o.Owner)
}

func rolloutTable(w io.Writer, r Rollout) {
	row(w, "revision", r.Revision)
	row(w, "in force", r.InForce)
	if len(r.Waiting) > 0 {
		row(w, "waiting for", strings.Join(r.Waiting, " "))
	}
	for _, set := range r.Sets {
		row(w)
		row(w, set.Model+"/"+set.Version, fmt.Sprintf("%d of %d live", set.Live, set.Total), shortenDigest(set.SetID))
		row(w, "ENDPOINT", "PHASE", "CHUNKS", "FROM ORIGIN", "FROM PEERS", "DETAIL")
		for _, e := range set.Endpoints {
			row(w, e.Endpoint, e.Phase, fmt.Sprintf("%d/%d", e.ChunksHave, e.ChunksTotal), e.OriginBytes, e.PeerBytes, e.Detail)
		}
	}
}
