package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

// settling is long enough for the longest probation.
const settling = maxProbation + 10*time.Second

func TestHostsAgreeOnOwnersAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []ident.Host{"a", "b", "c", "d", "e"}
		w := newWorld(hosts...)
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
				w.states[h] = nil
			case "cut":
				w.side[h] = 1
			case "join":
				w.side[h] = 0
			}
			w.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "steps")) * step)
		}
		for _, h := range hosts {
			w.side[h] = 0
			w.frozen[h] = false
		}
		w.run(settling)
		if d := w.disagreement(); d != "" {
			t.Fatal(d)
		}
		for _, a := range hosts {
			for _, b := range hosts {
				if w.states[a] == nil || a == b {
					continue
				}
				if want := w.states[b] != nil; (w.stateAt(a, b) == Alive) != want {
					t.Fatalf("%s sees %s as %s; is it running: %v", a, b, w.stateAt(a, b), want)
				}
			}
		}
	})
}

func TestOwnHostIsAlwaysAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a", "b", "c")
		s := w.states["a"]
		for range rapid.IntRange(1, 50).Draw(t, "inputs") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom([]ident.Host{"a", "b", "c", "x"}).Draw(t, "host")
			m := member(h, rapid.SampledFrom([]ident.DataCentre{"dc1", "dc2"}).Draw(t, "dc"), rapid.Uint64Range(0, 3).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 5).Draw(t, "input") {
			case 0:
				s.greeted(m, w.now)
			case 1:
				s.heard(beat{host: h, incarnation: m.Incarnation}, w.now)
			case 2:
				s.closed(h)
			case 3:
				s.refused(h, w.now)
			case 4:
				s.told(h, []relayedMember{{Member: m, dead: rapid.Bool().Draw(t, "dead")}}, w.now)
			case 5:
				s.tick(w.now)
			}
		}
		if self, ok := w.view("a").Member("a"); !ok || self.State != Alive {
			t.Fatalf("the own host is %+v", self)
		}
	})
}
