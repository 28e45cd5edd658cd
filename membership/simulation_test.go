package membership

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
)

const simulationStep = 100 * time.Millisecond

// simulation runs the detectors of a few hosts in simulated time. Heartbeats arrive
// unless a host is stopped, frozen or partitioned.
type simulation struct {
	now       time.Time
	hosts     []ident.Host
	detectors map[ident.Host]*detector
	frozen    map[ident.Host]bool
	// partition is the side of a network partition that each host is on.
	partition map[ident.Host]int
	steps     int
}

func newSimulation(hosts ...ident.Host) *simulation {
	sim := &simulation{
		now:       time.Unix(1000, 0),
		detectors: make(map[ident.Host]*detector),
		frozen:    make(map[ident.Host]bool),
		partition: make(map[ident.Host]int),
	}
	for _, h := range hosts {
		sim.start(h)
	}
	return sim
}

func member(host ident.Host, dc ident.DataCentre, incarnation uint64) Member {
	return Member{Host: host, DataCentre: dc, PeerAddress: string(host) + ":1", Incarnation: incarnation}
}

// start starts or restarts the host's process.
func (sim *simulation) start(h ident.Host) {
	if _, ok := sim.detectors[h]; !ok {
		sim.hosts = append(sim.hosts, h)
	}
	sim.detectors[h] = newDetector(member(h, "dc1", NewIncarnation(sim.now)), newTiming(config.Timing{}))
	for _, other := range sim.hosts {
		if other != h && sim.reaches(h, other) {
			sim.detectors[h].handleHello(sim.detectors[other].self, sim.now)
			sim.detectors[other].handleHello(sim.detectors[h].self, sim.now)
		}
	}
}

func (sim *simulation) reaches(a, b ident.Host) bool {
	return sim.detectors[a] != nil && sim.detectors[b] != nil && !sim.frozen[a] && !sim.frozen[b] && sim.partition[a] == sim.partition[b]
}

// advance runs the simulation for the duration d.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simulationStep)
		sim.steps++
		sim.step(sim.steps%5 == 0)
	}
}

func (sim *simulation) step(heartbeats bool) {
	for _, h := range sim.hosts {
		detector := sim.detectors[h]
		if detector == nil || sim.frozen[h] {
			continue
		}
		detector.checkTimeouts(sim.now)
		for _, other := range sim.hosts {
			if heartbeats && other != h && sim.reaches(h, other) {
				sim.deliverHeartbeat(h, other)
			}
		}
	}
}

// deliverHeartbeat delivers one heartbeat, or a Hello to a host that does not know the
// sender's process.
func (sim *simulation) deliverHeartbeat(from, to ident.Host) {
	self := sim.detectors[from].self
	r, known := sim.detectors[to].members[from]
	if !known || r.Incarnation != self.Incarnation {
		sim.detectors[to].handleHello(self, sim.now)
		return
	}
	sim.detectors[to].handleHeartbeat(heartbeat{host: from, incarnation: self.Incarnation, leaving: self.Leaving}, sim.now)
}

func (sim *simulation) view(h ident.Host) *View { return sim.detectors[h].view(1) }

func (sim *simulation) stateAt(h, of ident.Host) State {
	m, _ := sim.view(h).Member(of)
	return m.State
}

func testPools() []ident.Pool {
	var pools []ident.Pool
	for i := range 19 {
		pools = append(pools, ident.Pool(fmt.Sprintf("model-%d", i)))
	}
	return pools
}

// ownerDisagreement describes the first pool on whose owner two connected hosts
// disagree, or returns "".
func (sim *simulation) ownerDisagreement() string {
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if a >= b || !sim.reaches(a, b) {
				continue
			}
			for _, p := range testPools() {
				if x, y := sim.view(a).Owner("dc1", p), sim.view(b).Owner("dc1", p); x != y {
					return fmt.Sprintf("%s: %s says %s, %s says %s", p, a, x, b, y)
				}
			}
		}
	}
	return ""
}
