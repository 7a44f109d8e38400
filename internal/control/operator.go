package control

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/operator"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/ledger"
	"github.com/rhubarbhill/rhubarbhill/raft"
	"github.com/rhubarbhill/rhubarbhill/release"
)

// Status is the response to GET /v1/status.
type Status struct {
	Replica  string         `json:"replica"`
	ID       string         `json:"id"`
	Role     string         `json:"role"`
	Leader   string         `json:"leader"`
	Term     uint64         `json:"term"`
	Voters   []string       `json:"voters"`
	Learners []string       `json:"learners"`
	Revision uint64         `json:"revision"`
	Digest   release.Digest `json:"digest"`
	// InForce is true when the current revision is in force.
	InForce         bool             `json:"in_force"`
	InForceRevision uint64           `json:"in_force_revision"`
	WaitingFor      []string         `json:"waiting_for"`
	LeaseExpired    []string         `json:"lease_expired"`
	Revisions       []RevisionStatus `json:"revisions"`

	Endpoints []operator.Endpoint `json:"endpoints"`
	Catalogue release.Catalogue   `json:"catalogue"`

	Commit     uint64 `json:"commit"`
	Unresolved bool   `json:"unresolved"`
	// MembershipPending is true while a change of Voters or Learners is not
	// known to be committed. If another voter is lost meanwhile, nothing can be
	// accepted.
	MembershipPending bool              `json:"membership_pending"`
	Lag               map[string]uint64 `json:"lag,omitempty"` // log entries by replica ID; on the leader only
	Ledger            ledger.Sizes      `json:"ledger"`
	DiskError         string            `json:"disk_error,omitempty"`

	Evacuated          []operator.ZoneEvacuation `json:"evacuated,omitempty"`
	EvacuationRevision uint64                    `json:"evacuation_revision,omitempty"`
}

func (d *Daemon) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(operator.PathNotes, d.postNote).Methods(http.MethodPost)
	r.HandleFunc(operator.PathNotesCheck, d.checkNote).Methods(http.MethodPost)
	r.HandleFunc(operator.PathStatus, d.getStatus).Methods(http.MethodGet)
	r.HandleFunc(operator.PathEndpoints, d.getEndpoints).Methods(http.MethodGet)
	r.HandleFunc(operator.PathQuarantine, d.getQuarantine).Methods(http.MethodGet)
	r.HandleFunc(operator.PathRollout, d.getRollout).Methods(http.MethodGet)
	r.HandleFunc(operator.PathEvacuations, d.postEvacuation).Methods(http.MethodPost)
	r.HandleFunc("/v1/outcomes/{organisation}/{key:.+}", d.getOutcome).Methods(http.MethodGet)
	r.HandleFunc("/v1/outcomes/{key}", d.getOutcome).Methods(http.MethodGet)
	return d.operatorToken.Require(r)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readNote parses the note in a request. If it is invalid, it writes the error
// response and returns false.
func readNote(w http.ResponseWriter, r *http.Request) (*release.Document, bool) {
	data, err := network.ReadBody(w, r, release.MaxNoteBytes+1)
	if err == nil {
		var doc *release.Document
		if doc, err = release.Parse(data); err == nil {
			return doc, true
		}
	}
	respond(w, http.StatusBadRequest, invalidNote(err, release.Note{}))
	return nil, false
}

func invalidNote(err error, n release.Note) operator.NoteAnswer {
	a := operator.NoteAnswer{Status: operator.NoteInvalid, Number: n.Number, Reason: err.Error()}
	a.Problems = append(a.Problems, release.Problems(err)...)
	return a
}

func (d *Daemon) postNote(w http.ResponseWriter, r *http.Request) {
	doc, ok := readNote(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	status, answer := d.SubmitNote(ctx, doc)
	d.metrics.notes.WithLabelValues(answer.Status).Inc()
	respond(w, status, answer)
}

// SubmitNote proposes a note. It returns the HTTP status and the answer.
func (d *Daemon) SubmitNote(ctx context.Context, doc *release.Document) (int, operator.NoteAnswer) {
	n := doc.Note
	answer := operator.NoteAnswer{Number: n.Number, Digest: n.Digest()}
	a := d.replica.Propose(ctx, ledger.Command{Note: &ledger.SubmitNote{
		Number: n.Number, Digest: answer.Digest, Canonical: n.Canonical(),
	}})
	switch a.Status {
	case wire.ProposeNotRun:
		answer.Status, answer.Reason, answer.Leader = operator.NoteNotRun, a.Detail, d.replica.View().Raft.Leader
		return http.StatusServiceUnavailable, answer
	case wire.ProposeUnknown:
		answer.Status = operator.NoteUnknown
		answer.Reason = a.Detail + "; send the same note again"
		return http.StatusGatewayTimeout, answer
	}
	switch r := a.Result; r.Status {
	case ledger.StatusAccepted:
		answer.Status = operator.NoteAccepted
		return http.StatusOK, answer
	case ledger.StatusConflict:
		answer.Status, answer.Number, answer.Digest, answer.Reason = operator.NoteConflict, r.Number, r.Digest, r.Reason
		return http.StatusConflict, answer
	default:
		return d.refusedNote(doc, answer, r)
	}
}

// refusedNote returns the answer to a refused note, with the lines that caused
// the refusal where they are known.
func (d *Daemon) refusedNote(doc *release.Document, answer operator.NoteAnswer, r ledger.Result) (int, operator.NoteAnswer) {
	answer.Status, answer.Reason = operator.NoteRefused, r.Reason
	if r.Number != 0 {
		answer.Number = r.Number
		return http.StatusConflict, answer
	}
	var invalid *release.InvalidError
	if err := doc.Check(d.replica.View().Catalogue); errors.As(err, &invalid) {
		answer.Reason, answer.Problems = err.Error(), invalid.Problems
	}
	return http.StatusUnprocessableEntity, answer
}

func (d *Daemon) checkNote(w http.ResponseWriter, r *http.Request) {
	doc, ok := readNote(w, r)
	if !ok {
		return
	}
	if err := doc.Check(d.replica.View().Catalogue); err != nil {
		respond(w, http.StatusUnprocessableEntity, invalidNote(err, doc.Note))
		return
	}
	respond(w, http.StatusOK, operator.NoteAnswer{
		Status: operator.NoteValid, Number: doc.Note.Number, Digest: doc.Note.Digest(),
	})
}

// markCurrent sets the response header that tells whether this replica is a
// leader confirmed by a quorum. If the replica has no state yet, it writes an
// error response and returns false.
func (d *Daemon) markCurrent(w http.ResponseWriter, r *http.Request) bool {
	v := d.replica.View()
	if len(v.Raft.Membership.Voters) == 0 {
		respond(w, http.StatusServiceUnavailable, wire.Error{Code: "not-a-member", Detail: "this replica has no state yet"})
		return false
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaderCheckTimeout)
	defer cancel()
	current := v.Raft.Role == raft.Leader && d.replica.LinearizableRead(ctx, func(*ledger.Ledger) {})
	w.Header().Set(operator.HeaderCurrent, strconv.FormatBool(current))
	return true
}

func (d *Daemon) getStatus(w http.ResponseWriter, r *http.Request) {
	if !d.markCurrent(w, r) {
		return
	}
	respond(w, http.StatusOK, d.Status())
}

// Status returns the status of the replica as GET /v1/status does.
func (d *Daemon) Status() Status {
	v := d.replica.View()
	m := v.Raft.CommittedMembership
	s := Status{
		Replica: d.settings.Replica, ID: v.Raft.ID, Role: v.Raft.Role.String(), Leader: v.Raft.Leader,
		Term: v.Raft.Term, Voters: append([]string{}, m.Voters...), Learners: append([]string{}, m.Learners...), Revision: v.Catalogue.Revision,
		Digest: v.Digest, Endpoints: d.endpoints(), Catalogue: v.Catalogue, Commit: v.Raft.Commit,
		Unresolved: v.Unresolved, MembershipPending: v.Raft.MembershipPending, Ledger: v.LedgerSizes,
		Evacuated: zoneEvacuations(v.Evacuations, time.Now()), EvacuationRevision: v.Evacuations.Revision,
	}
	if v.DiskError != nil {
		s.DiskError = v.DiskError.Error()
	}
	if v.Raft.Role == raft.Leader {
		s.Lag = map[string]uint64{}
		for id, p := range v.Raft.Progress {
			s.Lag[id] = v.Raft.LastIndex - min(v.Raft.LastIndex, p.Match)
		}
	}
	s.Revisions = d.inForce.Report(time.Now())
	for i, r := range s.Revisions {
		if i == 0 {
			s.InForce, s.WaitingFor, s.LeaseExpired = r.InForce, r.WaitingFor, r.LeaseExpired
		}
		if r.InForce {
			s.InForceRevision = max(s.InForceRevision, r.Revision)
		}
	}
	if len(s.Revisions) == 0 {
		s.InForce = v.Catalogue.Revision == 0
	}
	return s
}

func (d *Daemon) endpoints() []operator.Endpoint {
	endpoints := []operator.Endpoint{}
	for _, a := range d.hub.LiveEndpoints() {
		endpoints = append(endpoints, operator.EndpointOf(a))
	}
	return endpoints
}

func (d *Daemon) getEndpoints(w http.ResponseWriter, r *http.Request) {
	if !d.markCurrent(w, r) {
		return
	}
	respond(w, http.StatusOK, operator.Endpoints{Endpoints: d.endpoints()})
}

func (d *Daemon) getQuarantine(w http.ResponseWriter, r *http.Request) {
	if !d.markCurrent(w, r) {
		return
	}
	answer := operator.Quarantine{Requests: []wire.QuarantinedRequest{}}
	now := time.Now().UnixMilli()
	for _, q := range d.replica.View().Suspects {
		if q.Until > now {
			answer.Requests = append(answer.Requests, q)
		}
	}
	respond(w, http.StatusOK, answer)
}

func (d *Daemon) getRollout(w http.ResponseWriter, r *http.Request) {
	if !d.markCurrent(w, r) {
		return
	}
	v := d.replica.View()
	s := d.Status()
	live := d.hub.LiveEndpoints()
	answer := operator.Rollout{Revision: s.Revision, InForce: s.InForce, Waiting: s.WaitingFor, Sets: []operator.RolloutSet{}}
	for _, name := range sortedModels(v.Catalogue) {
		set, _ := v.Catalogue.WeightsSet(name)
		answer.Sets = append(answer.Sets, rolloutOf(set, live))
	}
	respond(w, http.StatusOK, answer)
}

func rolloutOf(set release.WeightsSet, live []wire.Announce) operator.RolloutSet {
	id := set.ID()
	r := operator.RolloutSet{SetID: id, Model: set.Model.Name, Version: set.Model.Version, Endpoints: []operator.RolloutEndpoint{}}
	for _, a := range live {
		if a.Kind != wire.KindEngine || a.Role != set.Model.Role {
			continue
		}
		r.Total++
		e := operator.RolloutEndpoint{Endpoint: a.Endpoint, RolloutProgress: wire.RolloutProgress{SetID: id}}
		for _, p := range a.Rollouts {
			if p.SetID == id {
				e.RolloutProgress = p
			}
		}
		for _, loaded := range a.Sets {
			if loaded.SetID == id {
				r.Live++
				e.Phase = "live"
			}
		}
		r.Endpoints = append(r.Endpoints, e)
	}
	return r
}

// getOutcome answers only from state that is certainly current, which only a
// leader confirmed by a quorum has.
func (d *Daemon) getOutcome(w http.ResponseWriter, r *http.Request) {
	organisation, key := mux.Vars(r)["organisation"], mux.Vars(r)["key"]
	if organisation == "" {
		organisation = r.URL.Query().Get("organisation")
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	var o ledger.ClaimState
	var known bool
	if !d.replica.LinearizableRead(ctx, func(l *ledger.Ledger) { o, known = l.ClaimState(organisation, key) }) {
		respond(w, http.StatusServiceUnavailable, wire.Error{Code: "not-leader", Detail: d.replica.View().Raft.Leader})
		return
	}
	answer := operator.Outcome{Organisation: organisation, Key: key, Owner: o.Owner}
	status := http.StatusOK
	switch {
	case !known:
		status = http.StatusNotFound
	case o.Complete != nil:
		answer.Outcome, answer.Status = o.Complete.Outcome, o.Complete.Status
	case o.Status == ledger.StatusExpired:
		status = http.StatusGone
		answer.Outcome = string(ledger.StatusExpired)
	}
	respond(w, status, answer)
}
