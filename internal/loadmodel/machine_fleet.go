package loadmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// machinePhaseMs is how long machines keep their states.
	machinePhaseMs = 600
	// MachineRunMs is how long a request runs on a target of speed 1 in its usual state, and
	// MachineSlots how many requests a target runs at once.
	MachineRunMs = 200
	MachineSlots = 4
)

// machineClock converts simulated milliseconds to wall-clock time.
func machineClock(ms int) time.Time { return clock(time.Duration(ms) * time.Millisecond) }

// MachineFleet is a set of hosts before targets whose machines change their states. Its times are in
// milliseconds. The exported fields but Sent and SentSlow must be set before Run.
type MachineFleet struct {
	// Slow returns the targets that are slow in a phase, and by which factor.
	Slow func(phase int) (indexes []int, factor float64)
	// Delay returns the time after which a state of a host reaches the others.
	Delay func() int
	// IntervalMs is the time between two states of a host.
	IntervalMs int
	// AtOnce makes hosts send a state when the statement of a target says so.
	AtOnce bool
	// Sent is the number of requests, and SentSlow the number of those that reached a target
	// while it was slow.
	Sent     int
	SentSlow int

	random  *rand.Rand
	hosts   []*schedule.Scheduler
	targets []*machineTarget
	roster  *route.TargetSnapshot
	// stated says that the targets state how long work takes on their machines, and stream
	// that they respond with streams.
	stated    bool
	stream    bool
	messages  []machineMessage
	latencies []int
	start     map[ident.Request]int
}

// NewMachineFleet returns hosts before targets of the given speeds. The targets respond like plain
// services, and state how long work takes on their machines if stated is set.
func NewMachineFleet(seed uint64, hosts int, speeds []float64, stated bool) *MachineFleet {
	f := &MachineFleet{random: rand.New(rand.NewPCG(seed, 3)), stated: stated, start: make(map[ident.Request]int)}
	snapshot := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i, speed := range speeds {
		name := ident.Target(fmt.Sprintf("t%d", i))
		f.targets = append(f.targets, &machineTarget{name: name, speed: speed, factor: 1})
		snapshot.Targets[name] = route.Target{Name: name, Pool: poolName, Slots: MachineSlots, StartUnixMs: 1}
	}
	for i := range hosts {
		others := make(map[ident.Host]ident.DataCentre)
		for j := range hosts {
			if j != i {
				others[ident.Host(fmt.Sprint(j))] = ""
			}
		}
		s := schedule.New(schedule.Options{Host: ident.Host(fmt.Sprint(i)), Random: f.random.Float64})
		s.SetPeers(machineClock(0), others)
		f.hosts = append(f.hosts, s)
	}
	f.roster = snapshot
	f.configure(nil)
	return f
}

func (f *MachineFleet) configure(engine *route.Engine) {
	for _, s := range f.hosts {
		s.Configure(machineClock(0), map[ident.Pool]*route.Pool{poolName: {Name: poolName, Engine: engine}}, f.roster)
	}
}

// UseEngines makes the targets engines that respond with streams.
func (f *MachineFleet) UseEngines() {
	f.stream = true
	f.configure(&route.Engine{Slots: MachineSlots})
}

// Run simulates a time in which perSecond requests arrive.
func (f *MachineFleet) Run(lengthMs int, perSecond float64) {
	for ms := range lengthMs {
		f.setPhase(ms)
		f.deliver(ms)
		f.work(ms)
		if f.random.Float64() < perSecond/1000 {
			f.arrive(ms)
		}
		for i, s := range f.hosts {
			if s.Queued() > 0 {
				f.decide(ms, i)
			}
			if (ms+i)%f.IntervalMs == 0 {
				f.messages = append(f.messages, machineMessage{at: ms + f.Delay(), from: i, state: s.LocalState(machineClock(ms))})
			}
		}
	}
}

func (f *MachineFleet) setPhase(ms int) {
	if ms%machinePhaseMs != 0 {
		return
	}
	for _, t := range f.targets {
		t.factor = 1
	}
	indexes, factor := f.Slow(ms / machinePhaseMs)
	for _, i := range indexes {
		f.targets[i].factor = factor
	}
}

func (f *MachineFleet) deliver(ms int) {
	f.messages = slices.DeleteFunc(f.messages, func(m machineMessage) bool {
		if m.at > ms {
			return false
		}
		for i, s := range f.hosts {
			if i != m.from {
				s.ApplyPeerState(machineClock(ms), ident.Host(fmt.Sprint(m.from)), m.state)
			}
		}
		return true
	})
}

func (f *MachineFleet) arrive(ms int) {
	i := f.random.IntN(len(f.hosts))
	f.Sent++
	r := schedule.Request{
		ID: ident.Request(fmt.Sprint(f.Sent)), Pool: poolName, Arrived: machineClock(ms), Objective: machineClock(ms + 600),
		AbandonTime: machineClock(ms + 2000), Deadline: machineClock(ms + 6000), PromptTokens: 2500, OutputTokens: 15,
	}
	f.start[r.ID] = ms
	f.hosts[i].Enqueue(machineClock(ms), r)
	f.decide(ms, i)
}

func (f *MachineFleet) decide(ms, host int) {
	for _, action := range f.hosts[host].Decide(machineClock(ms)) {
		d, ok := action.(*schedule.Dispatch)
		if !ok {
			continue
		}
		i := slices.IndexFunc(f.targets, func(t *machineTarget) bool { return t.name == d.Target.Name })
		t := f.targets[i]
		t.runs = append(t.runs, &machineRun{host: host, id: d.Request, to: d.Target, left: MachineRunMs})
		if t.factor > 1 {
			f.SentSlow++
		}
	}
}
