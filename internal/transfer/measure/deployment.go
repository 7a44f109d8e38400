package main

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/swarm"
)

const (
	mebibyte    = 1 << 20
	chunkBytes  = 4 * mebibyte
	copyBytes   = 8 << 30
	chunkCount  = copyBytes / chunkBytes
	window      = 180 * time.Second
	originDelay = 3 * time.Millisecond

	originCopiesPerWindow  = 4
	machineCopiesPerWindow = 2
	regionLinkBytes        = 20e6 / 8
)

// deployment is a set of instances and the delays between them.
type deployment struct {
	name        string
	regions     []string
	zonesEach   int
	instances   int
	zoneDelay   time.Duration
	regionDelay time.Duration
	// slow gives one instance a quarter of its uplink.
	slow bool
}

const (
	slowInstance = 3
	slowShare    = 0.25
)

func (d deployment) uplinkShare(instance int) float64 {
	if d.slow && instance == slowInstance {
		return slowShare
	}
	return 1
}

func (d deployment) withSlowInstance() deployment {
	d.slow = true
	d.name += ", one slow uplink"
	return d
}

var (
	kerblineRegions   = []string{"brisbane", "townsville", "rockhampton"}
	ochandianoRegions = []string{"navarra", "asturias", "aragon"}
)

func kerbline(n int) deployment {
	return deployment{
		name: "Kerbline", regions: kerblineRegions, zonesEach: 1, instances: n,
		zoneDelay: 1500 * time.Microsecond, regionDelay: 3 * time.Millisecond,
	}
}

func ochandiano(n int) deployment {
	return deployment{
		name: "Ochandiano", regions: ochandianoRegions, zonesEach: 1, instances: n,
		zoneDelay: 500 * time.Microsecond, regionDelay: time.Millisecond,
	}
}

func designScale(n int) deployment {
	return deployment{
		name: "design scale", regions: []string{"region1", "region2"}, zonesEach: 3, instances: n,
		zoneDelay: 1500 * time.Microsecond, regionDelay: 3 * time.Millisecond,
	}
}

func (d deployment) nodes() []swarm.Node {
	list := make([]swarm.Node, d.instances)
	for i := range list {
		region := d.regions[i%len(d.regions)]
		zone := (i / len(d.regions)) % d.zonesEach
		list[i] = swarm.Node{ID: fmt.Sprintf("engine-%03d", i), Region: region, Zone: fmt.Sprintf("%s-%d", region, zone)}
	}
	return list
}

// delay is the one-way delay between two instances.
func (d deployment) delay(a, b swarm.Node) time.Duration {
	if a.Region != b.Region {
		return d.regionDelay
	}
	return d.zoneDelay
}

func originRate() float64  { return originCopiesPerWindow * copyBytes / window.Seconds() }
func machineRate() float64 { return machineCopiesPerWindow * copyBytes / window.Seconds() }

// lowerBound is the least time in which the link model can bring a copy to
// every instance, whatever the method. Three flows have to fit:
//
//   - a copy through each machine's downlink: S / d;
//   - a copy into each of R regions, from the origin and over the R(R-1)
//     directed region links, even where the rule keeps chunks off them:
//     R S / (O + R(R-1) l);
//   - N copies out of the origin and the instances' uplinks: N S / (O + N u).
//
// Delays and the time of the first chunk are left out; they only raise it.
func (d deployment) lowerBound() time.Duration {
	n, r := float64(d.instances), float64(len(d.regions))
	seconds := max(
		copyBytes/machineRate(),
		r*copyBytes/(originRate()+r*(r-1)*regionLinkBytes),
		n*copyBytes/(originRate()+n*machineRate()),
	)
	return time.Duration(seconds * float64(time.Second))
}
