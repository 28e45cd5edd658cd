package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

// settleTime is longer than the longest probation.
const settleTime = maxProbation + 10*time.Second

func TestHostsAgreeOnOwnersAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []ident.Host{"a", "b", "c", "d", "e"}
		sim := newSimulation(hosts...)
		host := rapid.SampledFrom(hosts)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			h := host.Draw(t, "host")
			switch rapid.SampledFrom([]string{"freeze", "unfreeze", "restart", "stop", "partition", "heal"}).Draw(t, "fault") {
			case "freeze":
				sim.frozen[h] = true
			case "unfreeze":
				sim.frozen[h] = false
			case "restart":
				sim.frozen[h] = false
				sim.start(h)
			case "stop":
				sim.detectors[h] = nil
			case "partition":
				sim.partition[h] = 1
			case "heal":
				sim.partition[h] = 0
			}
			sim.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps")) * simulationStep)
		}
		for _, h := range hosts {
			sim.partition[h] = 0
			sim.frozen[h] = false
		}
		sim.advance(settleTime)
		if d := sim.ownerDisagreement(); d != "" {
			t.Fatal(d)
		}
		for _, a := range hosts {
			for _, b := range hosts {
				if sim.detectors[a] == nil || a == b {
					continue
				}
				if want := sim.detectors[b] != nil; (sim.stateAt(a, b) == Alive) != want {
					t.Fatalf("%s sees %s as %s; want alive: %v", a, b, sim.stateAt(a, b), want)
				}
			}
		}
	})
}

func TestSelfIsAlwaysAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation("a", "b", "c")
		detector := sim.detectors["a"]
		for range rapid.IntRange(1, 50).Draw(t, "inputs") {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom([]ident.Host{"a", "b", "c", "x"}).Draw(t, "host")
			m := member(h, rapid.SampledFrom([]ident.DataCentre{"dc1", "dc2"}).Draw(t, "dc"), rapid.Uint64Range(0, 3).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 5).Draw(t, "input") {
			case 0:
				detector.handleHello(m, sim.now)
			case 1:
				detector.handleHeartbeat(heartbeat{host: h, incarnation: m.Incarnation}, sim.now)
			case 2:
				detector.handleSessionClosed(h)
			case 3:
				detector.handleDialRefused(h, sim.now)
			case 4:
				detector.handleMemberList(h, []memberReport{{Member: m, dead: rapid.Bool().Draw(t, "dead")}}, sim.now)
			case 5:
				detector.checkTimeouts(sim.now)
			}
		}
		if self, ok := sim.view("a").Member("a"); !ok || self.State != Alive {
			t.Fatalf("the host sees itself as %+v, want alive", self)
		}
	})
}
