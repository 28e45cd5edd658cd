package loadmodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/cell"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// step is the resolution of simulated time.
	step = time.Millisecond
	// poolName is the only pool of the simulation.
	poolName ident.Pool = "pool"
	// estimateSpread is the log-normal spread of callers' estimates of the output length.
	estimateSpread = 0.5
	// warmUp is the time between the schedulers' configuration and the first arrival.
	warmUp = time.Second
)

// model is the state of one simulation run.
type model struct {
	scenario Scenario
	// random draws the arrivals, and decisions what the hosts draw and where retries arrive, so
	// that the arrivals don't depend on the decisions.
	random    *rand.Rand
	decisions *rand.Rand
	now       time.Duration
	engines   []*engine
	byName    map[ident.Target]*engine
	hosts     []*host
	// active holds the unfinished requests, pendingRetries those that will be retried.
	active         map[ident.Request]*request
	pendingRetries []*request
	// pendingTurns are the sessions whose next prompts will be submitted, and blockCount the
	// number of blocks of prompts that belong to sessions and single requests.
	pendingTurns []*session
	blockCount   uint64
	// processed holds the prefixes that any engine has processed.
	processed    map[uint64]bool
	requestCount int
	report       Report
	roster       *route.TargetSnapshot
	pools        map[ident.Pool]*route.Pool
	// transfers are the messages between data centres that have not arrived yet.
	transfers []transfer
}

// Run simulates a scenario.
func Run(s Scenario) Report {
	m := newModel(s)
	for m.now < s.Length {
		m.now += step
		m.failEngines()
		m.loseEngines()
		m.restartEngines()
		m.deliverTransfers()
		m.generateArrivals()
		m.runEngines()
		m.abandonExpired()
		m.runSchedulers()
	}
	m.countPredictions()
	return m.report
}

func newModel(s Scenario) *model {
	m := &model{
		scenario:  s,
		random:    rand.New(rand.NewPCG(s.Seed, 1)),
		decisions: rand.New(rand.NewPCG(s.Seed, 2)),
		byName:    make(map[ident.Target]*engine),
		active:    make(map[ident.Request]*request),
		processed: make(map[uint64]bool),
		report:    Report{Classes: make(map[string]*Outcome)},
	}
	roster := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	m.roster = roster
	for i, speed := range s.EngineSpeeds {
		e := &engine{name: ident.Target("engine-" + strconv.Itoa(i)), speed: speed, slots: s.Slots}
		if s.KVCacheTokens > 0 {
			e.cache = newPrefixCache(s.cacheOf(i), m.processed, &m.report.Prefixes)
		}
		m.engines = append(m.engines, e)
		m.byName[e.name] = e
		roster.Targets[e.name] = route.Target{Name: e.name, Pool: poolName, Slots: s.Slots, DataCentre: s.dataCentreOf(i)}
	}
	pools := s.pools()
	m.pools = pools
	for i := range s.Hosts {
		h := &host{
			name:           ident.Host(strconv.Itoa(i)),
			dataCentre:     s.dataCentreOf(i),
			scheduler:      schedule.New(schedule.Options{Random: m.decisions.Float64, Host: ident.Host(strconv.Itoa(i)), DataCentre: s.dataCentreOf(i), FairShares: s.sharesAt(i), SharedClock: s.sharedClock(), ConstantDistances: s.ConstantDistances}),
			receivedCounts: make([]int, s.Hosts),
		}
		if s.KVCacheTokens > 0 {
			h.scheduler.SetStateInterval(s.MinPeerStateInterval)
		}
		h.scheduler.SetPeers(clock(0), m.othersThan(i))
		h.scheduler.Configure(clock(0), pools, roster)
		m.hosts = append(m.hosts, h)
	}
	m.assignCells()
	for i := range s.Classes {
		m.report.Classes[s.Classes[i].Name] = &Outcome{}
	}
	return m
}

// assignCells divides the hosts of each data centre into cells, if there is more than one.
func (m *model) assignCells() {
	if m.scenario.FarPeerStateInterval == 0 {
		return
	}
	names := make(map[ident.DataCentre][]ident.Host)
	for _, h := range m.hosts {
		names[h.dataCentre] = append(names[h.dataCentre], h.name)
	}
	for _, h := range m.hosts {
		local := names[h.dataCentre]
		count := cell.Count(len(local))
		h.cell = cell.Divide(local, count)[h.name]
		h.scheduler.SetCell(h.cell, count)
		h.scheduler.SetStateInterval(m.scenario.FarPeerStateInterval)
	}
}

// othersThan returns the data centres of all hosts but one.
func (m *model) othersThan(self int) map[ident.Host]ident.DataCentre {
	others := make(map[ident.Host]ident.DataCentre)
	for i := range m.scenario.Hosts {
		if i != self {
			others[ident.Host(strconv.Itoa(i))] = m.scenario.dataCentreOf(i)
		}
	}
	return others
}

// clock converts simulated time to wall-clock time.
func clock(at time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(warmUp + at) }

func (m *model) failEngines() {
	if m.scenario.FailedEngines == 0 || m.now < m.scenario.FailAt || m.engines[0].failed {
		return
	}
	for _, e := range m.engines[:m.scenario.FailedEngines] {
		e.failed = true
	}
}

// loseEngines removes the engines that crash and fails their requests.
func (m *model) loseEngines() {
	lost := min(m.scenario.LostEngines, len(m.engines))
	if lost == 0 || m.now < m.scenario.LoseAt {
		return
	}
	for _, e := range m.engines[:lost] {
		for _, r := range append(e.running, e.queue...) {
			m.finish(r, schedule.Broken)
			m.report.Classes[r.class.Name].Failed++
		}
		delete(m.roster.Targets, e.name)
	}
	m.engines = m.engines[lost:]
	m.scenario.LostEngines = 0
	for _, h := range m.hosts {
		h.scheduler.Configure(clock(m.now), m.pools, m.roster)
	}
}

// runEngines advances the engines by one step.
func (m *model) runEngines() {
	for _, e := range m.engines {
		first, ended := e.step(&m.scenario, m.now, step)
		if m.scenario.Plain {
			m.respond(e, ended)
			continue
		}
		for _, r := range first {
			m.reportFirstEvent(e, r)
			m.hosts[r.host].scheduler.RecordFirstEvent(clock(m.now), r.id)
		}
		for _, r := range e.running {
			if r.newTokens > 0 && r.prefillLeft <= 0 {
				m.hosts[r.host].scheduler.RecordProgress(clock(m.now), r.id, r.newTokens)
			}
		}
		for _, r := range ended {
			m.finish(r, schedule.Served)
			m.recordServed(r)
		}
	}
}

func (m *model) recordServed(r *request) {
	if r.session != nil {
		m.continueSession(r.session)
	}
	o := m.report.Classes[r.class.Name]
	o.BySize[r.class.sizeOf(r.output)].Served++
	if r.retry {
		o.RetriesServed++
	}
	if r.reserved {
		o.ReservedServed++
	}
	if r.firstEvent <= r.submitted+r.class.Objective {
		o.OnTime++
		o.EarnedValue += r.class.Value
		return
	}
	o.Late++
	if r.retry && r.firstEvent <= r.arrived+r.class.Objective {
		o.LateByRefusal++
	}
	o.EarnedValue += r.class.LateValue
}

func (m *model) finish(r *request, result schedule.Result) {
	delete(m.active, r.id)
	m.hosts[r.host].changed = true
	if m.scenario.Policy == Scheduled {
		m.hosts[r.host].scheduler.Finish(clock(m.now), r.id, result)
	}
}

// abandonExpired removes the requests whose callers have stopped waiting.
func (m *model) abandonExpired() {
	for _, r := range m.expired() {
		if r.engine != nil {
			r.engine.remove(r)
		}
		m.hosts[r.host].scheduler.Cancel(r.id)
		m.finish(r, schedule.Abandoned)
		m.report.Classes[r.class.Name].Abandoned++
	}
}

// expired returns the requests whose callers stop waiting now, in the order of submission.
func (m *model) expired() []*request {
	var list []*request
	for _, r := range m.active {
		if m.now >= r.abandonTime() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return list
}
