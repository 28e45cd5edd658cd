package membership

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/ident"
)

const step = 100 * time.Millisecond

// world is a few states with simulated time, whose heartbeats arrive unless a
// host is stopped, frozen or cut off.
type world struct {
	now    time.Time
	hosts  []ident.Host
	states map[ident.Host]*state
	frozen map[ident.Host]bool
	// side puts the hosts on one side or the other of a cut.
	side  map[ident.Host]int
	steps int
}

func newWorld(hosts ...ident.Host) *world {
	w := &world{
		now:    time.Unix(1000, 0),
		states: make(map[ident.Host]*state),
		frozen: make(map[ident.Host]bool),
		side:   make(map[ident.Host]int),
	}
	for _, h := range hosts {
		w.start(h)
	}
	return w
}

func member(host ident.Host, dc ident.DataCentre, incarnation uint64) Member {
	return Member{Host: host, DataCentre: dc, PeerAddress: string(host) + ":1", Incarnation: incarnation}
}

// start starts or restarts the host's process.
func (w *world) start(h ident.Host) {
	if _, ok := w.states[h]; !ok {
		w.hosts = append(w.hosts, h)
	}
	w.states[h] = newState(member(h, "dc1", NewIncarnation(w.now)), newTiming(config.Timing{}))
	for _, other := range w.hosts {
		if other != h && w.reaches(h, other) {
			w.states[h].greeted(w.states[other].self, w.now)
			w.states[other].greeted(w.states[h].self, w.now)
		}
	}
}

func (w *world) reaches(a, b ident.Host) bool {
	return w.states[a] != nil && w.states[b] != nil && !w.frozen[a] && !w.frozen[b] && w.side[a] == w.side[b]
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.steps++
		w.step(w.steps%5 == 0)
	}
}

func (w *world) step(beats bool) {
	for _, h := range w.hosts {
		s := w.states[h]
		if s == nil || w.frozen[h] {
			continue
		}
		s.tick(w.now)
		for _, other := range w.hosts {
			if beats && other != h && w.reaches(h, other) {
				w.heartbeat(h, other)
			}
		}
	}
}

// heartbeat delivers one heartbeat, or a greeting to a host that doesn't know
// the sender's process.
func (w *world) heartbeat(from, to ident.Host) {
	self := w.states[from].self
	r, known := w.states[to].members[from]
	if !known || r.Incarnation != self.Incarnation {
		w.states[to].greeted(self, w.now)
		return
	}
	w.states[to].heard(beat{host: from, incarnation: self.Incarnation, leaving: self.Leaving}, w.now)
}

func (w *world) view(h ident.Host) *View { return w.states[h].view(1) }

func (w *world) stateAt(h, of ident.Host) State {
	m, _ := w.view(h).Member(of)
	return m.State
}

func pools() []ident.Pool {
	var pools []ident.Pool
	for i := range 19 {
		pools = append(pools, ident.Pool(fmt.Sprintf("model-%d", i)))
	}
	return pools
}

// disagreement describes the first pool on whose owner two hosts of one side
// disagree, or returns "".
func (w *world) disagreement() string {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a >= b || !w.reaches(a, b) {
				continue
			}
			for _, p := range pools() {
				if x, y := w.view(a).Owner("dc1", p), w.view(b).Owner("dc1", p); x != y {
					return fmt.Sprintf("%s: %s says %s, %s says %s", p, a, x, b, y)
				}
			}
		}
	}
	return ""
}
