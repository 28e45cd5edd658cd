package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

const (
	memoryCapacity = 230_000
	largePrompt    = 39_600
)

// memoryFleet is a set of hosts before targets with six slots each. States arrive late.
type memoryFleet struct {
	random *rand.Rand
	// dataCentres is the number of data centres. Of others, hosts know the aggregate state only.
	dataCentres int
	hosts       []*Scheduler
	names       []ident.Host
	// log holds all decisions.
	log []string
	// held is what the targets hold, and peak the most that one held, in tokens.
	held map[ident.Target]int
	peak int
	runs []memoryRun
	// sent, queuedMs and refused describe the requests.
	sent, queuedMs, refused int
	arrived                 map[ident.Request]int
	sizes                   map[ident.Request]int
	states                  []memoryState
}

type memoryRun struct {
	firstAt int
	at      int
	host    *Scheduler
	id      ident.Request
	target  ident.Target
}

type memoryState struct {
	at    int
	from  int
	to    int
	state State
	// covered is the number of hosts of an aggregate state, or zero.
	covered int
}

func newMemoryFleet(seed uint64, dataCentres, hosts, targets, capacity int) *memoryFleet {
	f := &memoryFleet{
		random: rand.New(rand.NewPCG(seed, 3)), dataCentres: dataCentres, held: make(map[ident.Target]int),
		arrived: make(map[ident.Request]int), sizes: make(map[ident.Request]int),
	}
	for i := range hosts {
		f.names = append(f.names, ident.Host(fmt.Sprint("h", i)))
	}
	configured := map[ident.Pool]*route.Pool{"p": {Name: "p", Engine: &route.Engine{KVCacheTokens: capacity}}}
	for i, name := range f.names {
		s := New(Options{Host: name, DataCentre: f.dataCentre(i), Random: f.random.Float64})
		others := make(map[ident.Host]ident.DataCentre)
		for j, other := range f.names {
			if i != j {
				others[other] = f.dataCentre(j)
			}
		}
		s.SetPeers(at(0), others)
		s.Configure(at(0), configured, engines(slices.Repeat([]int{6}, targets)...))
		f.hosts = append(f.hosts, s)
	}
	return f
}

func (f *memoryFleet) dataCentre(host int) ident.DataCentre {
	if host%f.dataCentres == 0 {
		return "near"
	}
	return ident.DataCentre(fmt.Sprint("dc", host%f.dataCentres))
}

func (f *memoryFleet) enqueue(host, ms, prompt int) {
	r := request(fmt.Sprint(host, "-", ms, "-", len(f.arrived)), ms, 0)
	r.PromptTokens, r.OutputTokens = prompt, 500
	r.Objective, r.AbandonTime, r.Deadline = at(ms+10_000), at(ms+20_000), at(ms+30_000)
	f.arrived[r.ID], f.sizes[r.ID] = ms, prompt+500
	f.hosts[host].Enqueue(at(ms), r)
}

// run simulates the time up to end in milliseconds. Each host sends its state every 50 ms; it
// arrives 100 to 150 ms later, so that what others know is 0.1 to 0.2 s old.
func (f *memoryFleet) run(end int, arrive func(ms int)) {
	for ms := 0; ms < end; ms += 5 {
		f.states = slices.DeleteFunc(f.states, func(m memoryState) bool {
			switch {
			case m.at > ms:
			case m.covered > 0:
				f.hosts[m.to].ApplyDataCentreState(at(ms), f.dataCentre(m.from), m.covered, m.state)
			default:
				f.hosts[m.to].ApplyPeerState(at(ms), f.names[m.from], m.state)
			}
			return m.at <= ms
		})
		f.runs = slices.DeleteFunc(f.runs, func(r memoryRun) bool {
			if ms == r.firstAt {
				r.host.RecordFirstEvent(at(ms), r.id)
			}
			if r.at <= ms {
				r.host.Finish(at(ms), r.id, Served)
				f.held[r.target] -= f.sizes[r.id]
			}
			return r.at <= ms
		})
		arrive(ms)
		for i, s := range f.hosts {
			f.decide(ms, s)
			if (ms/5+i)%10 == 0 {
				f.send(ms, i)
			}
		}
	}
}

func (f *memoryFleet) decide(ms int, s *Scheduler) {
	for _, action := range s.Decide(at(ms)) {
		switch a := action.(type) {
		case *Refuse:
			f.refused++
			f.log = append(f.log, fmt.Sprint(ms, a.Request, a.Reason, a.RetryAfter))
		case *Dispatch:
			f.log = append(f.log, fmt.Sprint(ms, a.Request, a.Target.Name))
			f.sent++
			f.queuedMs += ms - f.arrived[a.Request]
			f.held[a.Target.Name] += f.sizes[a.Request]
			f.peak = max(f.peak, f.held[a.Target.Name])
			f.runs = append(f.runs, memoryRun{ms + 200, ms + 400 + f.sizes[a.Request]/40, s, a.Request, a.Target.Name})
		}
	}
}

func (f *memoryFleet) send(ms, from int) {
	state := f.hosts[from].LocalState(at(ms))
	aggregate, covered := State{}, 0
	if from < f.dataCentres && f.dataCentres > 1 {
		aggregate, covered = f.hosts[from].AggregateState(at(ms))
	}
	for to := range f.hosts {
		switch {
		case to == from:
		case f.dataCentre(to) == f.dataCentre(from):
			f.states = append(f.states, memoryState{ms + 100 + f.random.IntN(50), from, to, state, 0})
		case covered > 0:
			f.states = append(f.states, memoryState{ms + 5, from, to, aggregate, covered})
		}
	}
}

// TestLargePromptsStayWithinTheMemoryOfOneTarget guards against hosts that fill the same memory
// because their states are 0.1 to 0.2 s old: the target would run out of memory and fail.
func TestLargePromptsStayWithinTheMemoryOfOneTarget(t *testing.T) {
	for _, c := range []struct {
		name        string
		dataCentres int
		targets     int
		arrive      func(f *memoryFleet, ms int)
	}{
		{"at once", 1, 1, func(f *memoryFleet, ms int) {
			for host := range f.hosts {
				if ms == 1000 {
					f.enqueue(host, ms, largePrompt)
				}
			}
		}},
		{"at hosts of three data centres", 3, 1, func(f *memoryFleet, ms int) {
			if ms%2000 == 1000 {
				for range 30 {
					f.enqueue(f.random.IntN(len(f.hosts)), ms, largePrompt)
				}
			}
			if f.random.Float64() < 0.05 {
				f.enqueue(f.random.IntN(len(f.hosts)), ms, largePrompt)
			}
		}},
		{"ten a second", 1, 1, func(f *memoryFleet, ms int) {
			if f.random.Float64() < 0.05 {
				f.enqueue(f.random.IntN(len(f.hosts)), ms, largePrompt)
			}
		}},
		{"beside small ones", 1, 3, func(f *memoryFleet, ms int) {
			if f.random.Float64() < 0.15 {
				f.enqueue(f.random.IntN(len(f.hosts)), ms, 3000)
			}
			for range 12 {
				if ms > 2000 && ms%1000 == 0 {
					f.enqueue(f.random.IntN(len(f.hosts)), ms, largePrompt-f.random.IntN(25_000))
				}
			}
		}},
	} {
		for seed := range uint64(3) {
			if seed > 0 && testing.Short() {
				break
			}
			t.Run(fmt.Sprint(c.name, "/", seed), func(t *testing.T) {
				t.Parallel()
				f := newMemoryFleet(seed, c.dataCentres, 60, c.targets, memoryCapacity)
				f.run(8000, func(ms int) { c.arrive(f, ms) })
				t.Logf("peak %d, sent %d of %d, refused %d, mean wait %d ms", f.peak, f.sent, len(f.arrived), f.refused, f.queuedMs/max(f.sent, 1))
				if f.peak > memoryCapacity {
					t.Errorf("a target held %d tokens of %d", f.peak, memoryCapacity)
				}
			})
		}
	}
}

// TestAmpleMemoryChangesNoDecision guards against requests that wait or are refused for memory where
// there is enough: six slots and prompts of 3,000 tokens, at 71 hosts, also above the capacity.
func TestAmpleMemoryChangesNoDecision(t *testing.T) {
	t.Parallel()
	run := func(capacity int) *memoryFleet {
		f := newMemoryFleet(1, 1, 71, 4, capacity)
		f.run(6000, func(ms int) {
			for range 1 + ms/2500 {
				if f.random.Float64() < 0.2 {
					f.enqueue(f.random.IntN(len(f.hosts)), ms, 3000)
				}
			}
		})
		return f
	}
	f, unbounded := run(memoryCapacity), run(1_000_000_000)
	if f.sent == 0 || f.refused == 0 || !slices.Equal(f.log, unbounded.log) {
		t.Errorf("%d requests sent and %d refused, %d and %d with unbounded memory; want the same decisions", f.sent, f.refused, unbounded.sent, unbounded.refused)
	}
}

// TestLoneLargePromptIsSent guards against a host that waits for its turn among many hosts although
// none of the others has anything to send.
func TestLoneLargePromptIsSent(t *testing.T) {
	t.Parallel()
	f := newMemoryFleet(1, 1, 71, 1, memoryCapacity)
	f.run(20_000, func(ms int) {
		if ms%2500 == 1000 {
			f.enqueue(f.random.IntN(len(f.hosts)), ms, largePrompt)
		}
	})
	if f.sent != len(f.arrived) || f.queuedMs > f.sent*300 {
		t.Errorf("%d of %d sent after %d ms on average, want all within the time in which states arrive", f.sent, len(f.arrived), f.queuedMs/max(f.sent, 1))
	}
}

// TestBodyCountsAsMemory guards against a body of megabytes that counts as the few tokens that its
// caller states.
func TestBodyCountsAsMemory(t *testing.T) {
	s := newScheduler(6)
	s.Enqueue(at(0), request("first", 0, 0))
	large := request("large", 1, 0)
	large.BodyBytes = 2 << 20
	s.Enqueue(at(1), large)
	if sent := dispatched(t, s, 1); len(sent) != 1 || sent["first"] == "" {
		t.Errorf("sent %v, want no body of 2 MB beside another request", sent)
	}
}
