package relay

import (
	"context"
	"hash/fnv"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/rhubarbhill/rhubarbhill/internal/wire"
	"github.com/rhubarbhill/rhubarbhill/placement"
)

const (
	// loadInterval is the time between two reports to other entries. Shorter keeps
	// entries from choosing the same endpoint and costs a message per entry.
	loadInterval = 100 * time.Millisecond
	// farEntries is the number of entries of other regions that are told at each
	// interval. More are told in turn, so that what crosses between regions grows
	// with the number of entries and not with its square. Entries of the own region
	// are told each time: near endpoints are chosen first, so it is their requests
	// that meet at an endpoint.
	farEntries = 4
	// loadRepeat is how often a report without change is sent all the same, well
	// within the time that reports count.
	loadRepeat    = 400 * time.Millisecond
	maxLoadBytes  = 8 << 10
	loadsPerEntry = 1024
)

// loadReport tells other entries of this one's work. It goes by datagram: one that
// is lost is replaced by the next.
type loadReport struct {
	From string `cbor:"1,keyasint"`
	// Running and Unread list the work by endpoint, named by hash.
	Endpoints []uint32 `cbor:"2,keyasint,omitempty"`
	Running   []uint16 `cbor:"3,keyasint,omitempty"`
	Unread    []uint32 `cbor:"4,keyasint,omitempty"`
	// Refused lists requests that this entry refused since the last report.
	Refused []fingerprint `cbor:"5,keyasint,omitempty"`
}

func endpointHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// exchangeLoads tells other entries of this one's work and takes in theirs.
func (d *Daemon) exchangeLoads(ctx context.Context) {
	conn, err := net.ListenPacket("udp", d.settings.PeerListen)
	if err != nil {
		d.log.WithError(err).Error("peer_listen_failed") // entries then learn of others' work from endpoints only
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go d.receiveLoads(ctx, conn)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var last string
	var sent time.Time
	turn := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			report := d.loadReport()
			data, err := wire.Marshal(report)
			if err != nil {
				d.log.WithError(err).Error("load_report_failed")
				return
			}
			if string(data) == last && now.Sub(sent) < loadRepeat {
				continue
			}
			last, sent = string(data), now
			turn++
			d.sendLoads(conn, data, turn)
		}
	}
}

func (d *Daemon) loadReport() loadReport {
	r := loadReport{From: d.settings.Instance, Refused: d.handler.refused.report()}
	for id, l := range d.handler.dispatch.ownLoads() {
		if len(r.Endpoints) == loadsPerEntry {
			break
		}
		r.Endpoints = append(r.Endpoints, endpointHash(id))
		r.Running = append(r.Running, uint16(min(l.Running, 1<<16-1)))
		r.Unread = append(r.Unread, uint32(l.Unread))
	}
	return r
}

func (d *Daemon) sendLoads(conn net.PacketConn, data []byte, turn int) {
	far := 0
	processes := d.fleet.Processes()
	for _, p := range processes {
		if p.Region != d.settings.Region {
			far++
		}
	}
	rounds := max(1, (far+farEntries-1)/farEntries)
	at := 0
	for _, p := range processes {
		if p.Name == d.settings.Instance || p.PeerAddress == "" {
			continue
		}
		if p.Region != d.settings.Region {
			at++
			if at%rounds != turn%rounds {
				continue
			}
		}
		address, err := net.ResolveUDPAddr("udp", p.PeerAddress)
		if err != nil {
			d.log.WithError(err).WithField("entry", p.Name).Warn("peer_address_malformed")
			continue
		}
		_, _ = conn.WriteTo(data, address) // a lost report is replaced by the next
	}
}

func (d *Daemon) receiveLoads(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, maxLoadBytes)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				d.log.WithError(err).Warn("peer_read_failed")
				time.Sleep(loadInterval)
			}
			continue
		}
		var r loadReport
		if err := wire.Unmarshal(buffer[:n], &r); err != nil || len(r.Running) != len(r.Endpoints) || len(r.Unread) != len(r.Endpoints) {
			d.log.WithFields(log.Fields{"bytes": n}).Warn("peer_report_malformed")
			continue
		}
		d.handler.refused.learn(r.Refused, time.Now())
		d.handler.dispatch.peerLoads(r.From, d.named(r), time.Now())
	}
}

// named turns the hashes of a report into names of endpoints.
func (d *Daemon) named(r loadReport) map[string]placement.Load {
	names := *d.names.Load()
	loads := make(map[string]placement.Load, len(r.Endpoints))
	for i, hash := range r.Endpoints {
		if id, ok := names[hash]; ok {
			loads[id] = placement.Load{Running: int(r.Running[i]), Unread: int(r.Unread[i])}
		}
	}
	return loads
}
