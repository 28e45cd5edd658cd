package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

// settling is long enough for the longest probation.
const settleTime = maxProbation + 10*time.Second

func TestHostsAgreeOnOwnersAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []ident.Host{"a", "b", "c", "d", "e"}
		w := newSimulation(hosts...)
		host := rapid.SampledFrom(hosts)
		for range rapid.IntRange(1, 12).Draw(t, "troubles") {
			h := host.Draw(t, "host")
			switch rapid.SampledFrom([]string{"freeze", "wake", "restart", "stop", "cut", "join"}).Draw(t, "trouble") {
			case "freeze":
				w.frozen[h] = true
			case "wake":
				w.frozen[h] = false
			case "restart":
				w.frozen[h] = false
				w.start(h)
			case "stop":
				w.detectors[h] = nil
			case "cut":
				w.partition[h] = 1
			case "join":
				w.partition[h] = 0
			}
			w.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps")) * simulationStep)
		}
		for _, h := range hosts {
			w.partition[h] = 0
			w.frozen[h] = false
		}
		w.advance(settleTime)
		if d := w.ownerDisagreement(); d != "" {
			t.Fatal(d)
		}
		for _, a := range hosts {
			for _, b := range hosts {
				if w.detectors[a] == nil || a == b {
					continue
				}
				if want := w.detectors[b] != nil; (w.stateAt(a, b) == Alive) != want {
					t.Fatalf("%s sees %s as %s; is it running: %v", a, b, w.stateAt(a, b), want)
				}
			}
		}
	})
}

func TestSelfIsAlwaysAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation("a", "b", "c")
		s := w.detectors["a"]
		for range rapid.IntRange(1, 50).Draw(t, "inputs") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom([]ident.Host{"a", "b", "c", "x"}).Draw(t, "host")
			m := member(h, rapid.SampledFrom([]ident.DataCentre{"dc1", "dc2"}).Draw(t, "dc"), rapid.Uint64Range(0, 3).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 5).Draw(t, "input") {
			case 0:
				s.handleHello(m, w.now)
			case 1:
				s.handleHeartbeat(heartbeat{host: h, incarnation: m.Incarnation}, w.now)
			case 2:
				s.handleSessionClosed(h)
			case 3:
				s.handleDialRefused(h, w.now)
			case 4:
				s.handleMemberList(h, []memberReport{{Member: m, dead: rapid.Bool().Draw(t, "dead")}}, w.now)
			case 5:
				s.checkTimeouts(w.now)
			}
		}
		if self, ok := w.view("a").Member("a"); !ok || self.State != Alive {
			t.Fatalf("the own host is %+v", self)
		}
	})
}
