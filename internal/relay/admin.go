package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rhubarbhill/rhubarbhill/internal/explain"
	"github.com/rhubarbhill/rhubarbhill/internal/metrics"
	"github.com/rhubarbhill/rhubarbhill/quarantine"
)

const pathQuarantine = "/quarantine"

// suspectPart describes a suspect or quarantined part on the admin port.
type suspectPart struct {
	Part string `json:"part"`
	// Quarantined is false for a part that is only suspect.
	Quarantined bool          `json:"quarantined"`
	Until       time.Time     `json:"until"`
	Renewals    int           `json:"renewals"`
	Crashes     []suspectedIn `json:"crashes"`
	// Common lists the parts that the requests of all crashes have in common.
	Common []string `json:"common_parts"`
}

// suspectedIn describes the crash of an endpoint under requests with a part.
type suspectedIn struct {
	Endpoint    string    `json:"endpoint"`
	Incarnation uint64    `json:"started"` // Unix milliseconds
	Source      string    `json:"organisation"`
	At          time.Time `json:"at"`
}

// adminHandler returns the handler of the admin port: metrics, health, and the parts of
// requests that crash endpoints.
//
//	GET    /quarantine         lists them, as JSON
//	DELETE /quarantine/{part}  clears one, and those that are refused only together
//	                           with it, at all entries; 404 if it is not listed
//	POST   /explain/request    tells where a request would go now, see package explain;
//	                           400 names a wrong field
func (d *Daemon) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(explain.PathRequest, d.explainRequest).Methods(http.MethodPost)
	r.HandleFunc(pathQuarantine, d.listQuarantine).Methods(http.MethodGet)
	r.HandleFunc(pathQuarantine+"/{part}", d.liftQuarantine).Methods(http.MethodDelete)
	r.PathPrefix("/").Handler(metrics.AdminHandler(d.registry, d.ready))
	return r
}

func (d *Daemon) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	list := []suspectPart{}
	for _, r := range d.guard.records(time.Now()) {
		p := suspectPart{Part: formatPart(r.Part), Quarantined: r.Quarantined, Until: r.Until, Renewals: r.Renewals, Common: formatParts(r.CommonParts())}
		for _, c := range r.Crashes {
			p.Crashes = append(p.Crashes, suspectedIn{c.Endpoint, c.Incarnation, c.Source, c.At})
		}
		list = append(list, p)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the client disconnected
}

func (d *Daemon) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	part, err := strconv.ParseUint(mux.Vars(r)["part"], 16, 64)
	if err != nil {
		http.Error(w, "the part is not a hexadecimal number of up to 16 digits", http.StatusBadRequest)
		return
	}
	if !d.guard.lift(quarantine.PartID(part), time.Now()) {
		http.Error(w, "the part is neither suspect nor quarantined", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
