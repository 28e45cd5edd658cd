package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

const (
	// limitStep is the resolution of the simulated time in milliseconds.
	limitStep = 5
	// limitRunMs is how long a request runs on a target.
	limitRunMs = 30
	// limitCalmMs is the time without faults at the beginning, limitEndMs the end.
	limitCalmMs = 30_000
	limitEndMs  = 60_000
	// limitKnownMs is how long hosts may take to keep to a limit, also after their start.
	limitKnownMs = 3000
	// directHosts is the number of hosts up to which all send their own state to each other.
	directHosts = 16
)

// limitFleet is a set of hosts before four targets, of which the first states a limit.
type limitFleet struct {
	random  *rand.Rand
	limit   float64
	perHost float64
	hosts   []*limitHost
	// arrivals holds when requests reached the first target, in milliseconds, but for those of
	// hosts that have just restarted.
	arrivals []int
	ends     []limitRun
	messages []limitMessage
}

type limitHost struct {
	name      ident.Host
	dc        ident.DataCentre
	scheduler *Scheduler
	// group is the number of the part of the fleet whose states the host receives.
	group     int
	sent      int
	startedMs int
}

type limitRun struct {
	at     int
	host   *limitHost
	on     *Scheduler
	id     ident.Request
	target route.Target
}

type limitMessage struct {
	at      int
	from    *limitHost
	to      *limitHost
	state   State
	covered int
}

func newLimitFleet(seed uint64, hosts int, limit, perHost float64) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(seed, 7)), limit: limit, perHost: perHost}
	for i := range hosts {
		f.hosts = append(f.hosts, &limitHost{name: ident.Host(fmt.Sprintf("h%d", i)), dc: ident.DataCentre(fmt.Sprintf("dc%d", i%4))})
	}
	for _, h := range f.hosts {
		f.start(h, 0)
	}
	return f
}

// start starts a process on a host, which knows nothing yet.
func (f *limitFleet) start(h *limitHost, ms int) {
	h.startedMs = ms
	h.scheduler = New(Options{Host: h.name, DataCentre: h.dc, Random: f.random.Float64})
	others := make(map[ident.Host]ident.DataCentre)
	for _, other := range f.hosts {
		if other != h {
			others[other.name] = other.dc
		}
	}
	h.scheduler.SetPeers(at(ms), others)
	targets := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i := range 4 {
		name := ident.Target(fmt.Sprintf("t%d", i))
		targets.Targets[name] = route.Target{Name: name, Pool: "p", Slots: 100, DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i)), StartUnixMs: 1}
	}
	h.scheduler.Configure(at(ms), map[ident.Pool]*route.Pool{"p": {Name: "p"}}, targets)
}

func (f *limitFleet) step(ms int) {
	f.deliver(ms)
	f.endRuns(ms)
	for i, h := range f.hosts {
		if f.random.Float64() < f.perHost*limitStep/1000 {
			f.enqueue(h, ms)
		}
		for _, action := range h.scheduler.Decide(at(ms)) {
			if d, ok := action.(*Dispatch); ok {
				f.dispatch(h, ms, d)
			}
		}
		if (ms/limitStep+i)%4 == 0 {
			f.send(h, ms)
		}
	}
}

func (f *limitFleet) enqueue(h *limitHost, ms int) {
	h.sent++
	r := request(fmt.Sprintf("%s-%d", h.name, h.sent), ms, 0)
	h.scheduler.Enqueue(at(ms), r)
}

func (f *limitFleet) dispatch(h *limitHost, ms int, d *Dispatch) {
	if d.Target.Name == "t0" && (h.startedMs == 0 || ms-h.startedMs > limitKnownMs) {
		f.arrivals = append(f.arrivals, ms)
	}
	f.ends = append(f.ends, limitRun{ms + limitRunMs, h, h.scheduler, d.Request, d.Target})
}

func (f *limitFleet) endRuns(ms int) {
	f.ends = slices.DeleteFunc(f.ends, func(r limitRun) bool {
		if r.at > ms {
			return false
		}
		if r.on == r.host.scheduler {
			statement := targetlimit.Statement{Kind: targetlimit.Unlimited}
			if r.target.Name == "t0" {
				statement = targetlimit.Statement{Kind: targetlimit.Limited, PerSecond: f.limit}
			}
			r.on.RecordLimit(at(ms), r.target, statement)
			r.on.Finish(at(ms), r.id, Served)
		}
		return true
	})
}

// send sends the state of a host to the hosts that it reaches.
func (f *limitFleet) send(h *limitHost, ms int) {
	state := h.scheduler.LocalState(at(ms))
	aggregate, covered := State{}, 0
	if len(f.hosts) > directHosts && f.random.IntN(4) == 0 {
		aggregate, covered = h.scheduler.AggregateState(at(ms))
	}
	for _, other := range f.hosts {
		if other == h || other.group != h.group || f.random.IntN(50) == 0 {
			continue
		}
		switch {
		case len(f.hosts) <= directHosts || other.dc == h.dc:
			f.messages = append(f.messages, limitMessage{ms + limitStep, h, other, state, 0})
		case covered > 0:
			f.messages = append(f.messages, limitMessage{ms + limitStep, h, other, aggregate, covered})
		}
	}
}

func (f *limitFleet) deliver(ms int) {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.at > ms:
			f.messages = append(f.messages, m)
		case m.covered > 0:
			m.to.scheduler.ApplyDataCentreState(at(ms), m.from.dc, m.covered, m.state)
		default:
			m.to.scheduler.ApplyPeerState(at(ms), m.from.name, m.state)
		}
	}
	for _, h := range f.hosts {
		h.scheduler.ExpirePeers(at(ms))
	}
}

// disturb cuts hosts off from each other, reunites them, or restarts some.
func (f *limitFleet) disturb(ms int) {
	switch f.random.IntN(4) {
	case 0:
		for _, h := range f.hosts {
			h.group = f.random.IntN(3)
		}
	case 1:
		for _, h := range f.hosts {
			h.group = int(h.dc[len(h.dc)-1]) % 2
		}
	case 2:
		for _, h := range f.hosts {
			h.group = 0
		}
	default:
		for _, h := range f.hosts {
			if f.random.IntN(3) == 0 {
				f.start(h, ms)
			}
		}
	}
}

// mostArrivals returns the largest number of arrivals within four seconds between two times.
func (f *limitFleet) mostArrivals(from, to int) int {
	most := 0
	for i, start := range f.arrivals {
		n := 0
		for _, ms := range f.arrivals[i:] {
			if start >= from && ms < min(start+4000, to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (f *limitFleet) count(from, to int) int {
	n := 0
	for _, ms := range f.arrivals {
		if ms >= from && ms < to {
			n++
		}
	}
	return n
}

func TestLimitHoldsOverHostsInCutsAndRestarts(t *testing.T) {
	for _, c := range []struct {
		hosts          int
		limit, perHost float64
	}{
		{3, 1.2, 30},
		{16, 1, 8},
		{16, 8, 8},
		{60, 1, 0.4},
		{60, 2.5, 6},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%+v seed %d", c, seed), func(t *testing.T) {
				t.Parallel()
				f := newLimitFleet(seed, c.hosts, c.limit, c.perHost)
				for ms := 0; ms < limitEndMs; ms += limitStep {
					if ms >= limitCalmMs && ms%1500 == 0 {
						f.disturb(ms)
					}
					f.step(ms)
				}
				named := f.arrivals[0] + limitRunMs + limitKnownMs
				calm, calmMost := f.count(named, limitCalmMs), f.mostArrivals(named, limitCalmMs)
				most := f.mostArrivals(named, limitEndMs)
				t.Logf("calm: %d of %.1f, at most %d in four seconds; with faults at most %d", calm, c.limit*float64(limitCalmMs-named)/1000, calmMost, most)
				if want := int(c.limit*4) + 4; calmMost > want {
					t.Errorf("without faults %d arrivals in four seconds, want at most %d", calmMost, want)
				}
				if want := 0.5 * c.limit * float64(limitCalmMs-named) / 1000; float64(calm) < want {
					t.Errorf("without faults %d arrivals, want at least %.1f, half of what it takes", calm, want)
				}
				if want := int(1.5*c.limit*4) + 5; most > want {
					t.Errorf("%d arrivals in four seconds, want at most %d", most, want)
				}
			})
		}
	}
}
