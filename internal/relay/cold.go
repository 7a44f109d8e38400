package relay

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/placement"
	"github.com/rhubarbhill/rhubarbhill/routing"
)

// maxColdLogged limits the endpoints of one change that are logged one by one. A whole zone may
// become cold at once.
const maxColdLogged = 8

// coldRule returns the rule for the cold endpoints of a service. The bound on the requests in any
// second holds for all entries together.
func (s *Settings) coldRule(service *routing.Service) placement.ColdRule {
	if service == nil || service.ColdPerSecond <= 0 {
		return placement.ColdRule{}
	}
	return placement.ColdRule{Start: service.ColdStart, PerSecond: service.ColdPerSecond*s.ColdOverage + s.ColdSlack}
}

// updateCold sets which endpoints are cold, logs the changes, and leaves their permits to other
// brokers while this entry is cut off from the control replicas.
func (d *Daemon) updateCold(table *routing.Table, endpoints map[string][]placement.Endpoint, now time.Time) {
	rule := func(service string) placement.ColdRule { return d.settings.coldRule(table.Service(service)) }
	d.cold.SawFirstRouting = d.fleet.SawFirstRouting()
	logColdChanges(d.log, d.cold.Update(rule, endpoints, now))
}

func logColdChanges(logger log.Interface, changes []placement.ColdChange) {
	for i, c := range changes {
		if i == maxColdLogged {
			logger.WithField("endpoints", len(changes)-i).Info("more_endpoints_cold_or_warm")
			return
		}
		entry := logger.WithFields(log.Fields{"service": c.Service, "endpoint": c.Endpoint})
		if c.Cold {
			entry.WithField("for_ms", c.For.Milliseconds()).Info("endpoint_cold")
		} else {
			entry.Info("endpoint_warm")
		}
	}
}

// setCold sets the number of cold endpoints of each service.
func (m *relayMetrics) setCold(byService map[string]int) {
	for service, n := range byService {
		m.coldEndpoints.WithLabelValues(service).Set(float64(n))
	}
}

// coldEndpoints returns the number of cold endpoints of each service.
func (d *dispatcher) coldEndpoints() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	byService := map[string]int{}
	for service, p := range d.pools {
		byService[service] = len(p.ColdEndpoints())
	}
	return byService
}

// rateLimited lists the endpoints that may be used only by permit of a broker.
func (d *dispatcher) rateLimited(service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool(service).RateLimited()
}

// recordCold records for how long an endpoint remains cold by its last answer.
func (d *dispatcher) recordCold(q *request, c placement.Choice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pool(q.service).RecordCold(c.ID, c.Incarnation, q.record.coldFor, time.Now())
}

// permitDelay returns how long an entry waits after a refused permit until it requests another one.
// If the interval between two permits is short, the next one is due at any time within it, and a
// request that comes too early costs little.
func permitDelay(interval time.Duration) time.Duration {
	if interval < permitJitter {
		return rand.N(2 * max(interval, time.Millisecond))
	}
	return interval + rand.N(permitJitter)
}

// countCold counts the permits that brokers refuse while endpoints are cold.
func (d *dispatcher) countCold(m *relayMetrics) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coldRefused = func(service string) { m.coldRefused.WithLabelValues(service).Inc() }
}

// countColdRefusal counts the refusal of a broker if endpoints with room are cold. The caller
// holds mu.
func (d *dispatcher) countColdRefusal(service string, v placement.Verdict) {
	if v == placement.RateLimited && len(d.pool(service).ColdEndpoints()) > 0 {
		d.coldRefused(service)
	}
}

// coldAuthority tells for which groups this entry grants permits of cold endpoints, and since when,
// by the lists of entries that it has received.
type coldAuthority map[string]time.Time

// updateColdAuthority replaces the entries that the control replicas list, with this one, whether or
// not they accept callers. An isolated entry reaches no control replica that knows a leader: the
// others may have another first broker, and any number of isolated entries may take themselves for
// it.
func (s *slotCoordinator) updateColdAuthority(listed []placement.Entry, isolated bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := coldAuthority{}
	if !isolated {
		for group, name := range placement.ColdAuthorities(listed) {
			if name != s.self {
				continue
			}
			next[group] = now
			if since, held := s.coldAuthority[group]; held {
				next[group] = since
			}
		}
	}
	s.coldAuthority = next
}

// setColdAuthority tells a broker whether it may grant permits of cold endpoints. Without any list
// of entries, the first broker may. The caller holds mu.
func (s *slotCoordinator) setColdAuthority(b *placement.Broker, group string) {
	since, held := s.coldAuthority[group]
	switch {
	case held:
		b.SetColdAuthority(since)
	default:
		b.SetColdPermits(s.coldAuthority == nil)
	}
}

// permitUntil returns when the permit in the response of a broker expires; zero if the endpoint
// needs none. The time of the grant by the clock of this entry is not known. It is not earlier
// than the request plus the time that the broker had it, so a message that was delayed, or a
// pause of this process, makes the permit look older but never newer.
func (p *slotResult) permitUntil() time.Time {
	if !p.response.Choice.RateLimited {
		return time.Time{}
	}
	return p.requestedAt.Add(p.response.Waited + placement.PermitTTL)
}
