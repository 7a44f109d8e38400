package wire

import "github.com/rhubarbhill/rhubarbhill/membership"

// Record returns the announcement as a record of a membership table.
func (a Announce) Record() membership.Record[Announce] {
	return membership.Record[Announce]{
		Endpoint: a.Endpoint, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Draining: a.Draining, Gone: a.Gone, Report: a,
	}
}

// MembersFrom converts an update of a membership table to a message.
func MembersFrom(u membership.Update[Announce]) Members {
	m := Members{Epoch: u.Epoch, Version: u.Version, Base: u.Base, Removed: u.Removed}
	for _, r := range u.Updated {
		m.Updated = append(m.Updated, r.Report)
	}
	return m
}

// Update converts the message to an update of a membership view.
func (m Members) Update() membership.Update[Announce] {
	u := membership.Update[Announce]{Epoch: m.Epoch, Version: m.Version, Base: m.Base, Removed: m.Removed}
	for _, a := range m.Updated {
		u.Updated = append(u.Updated, a.Record())
	}
	return u
}
