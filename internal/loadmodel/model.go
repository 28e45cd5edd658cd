package loadmodel

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

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
	random   *rand.Rand
	now      time.Duration
	engines  []*engine
	byName   map[ident.Target]*engine
	hosts    []*host
	// active holds the unfinished requests, pendingRetries those that will be retried.
	active         map[ident.Request]*request
	pendingRetries []*request
	requestCount   int
	report         Report
}

// Run simulates a scenario.
func Run(s Scenario) Report {
	m := newModel(s)
	for m.now < s.Length {
		m.now += step
		m.failEngines()
		m.generateArrivals()
		m.runEngines()
		m.abandonExpired()
		m.runSchedulers()
	}
	return m.report
}

func newModel(s Scenario) *model {
	m := &model{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		byName:   make(map[ident.Target]*engine),
		active:   make(map[ident.Request]*request),
		report:   Report{Classes: make(map[string]*Outcome)},
	}
	roster := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i, speed := range s.EngineSpeeds {
		e := &engine{name: ident.Target("engine-" + strconv.Itoa(i)), speed: speed, slots: s.Slots}
		m.engines = append(m.engines, e)
		m.byName[e.name] = e
		roster.Targets[e.name] = route.Target{Name: e.name, Pool: poolName, Slots: s.Slots, DataCentre: s.dataCentreOf(i)}
	}
	pools := map[ident.Pool]*route.Pool{poolName: {Name: poolName, Engine: &route.Engine{Slots: s.Slots}}}
	for i := range s.Hosts {
		h := &host{
			name:           ident.Host(strconv.Itoa(i)),
			dataCentre:     s.dataCentreOf(i),
			scheduler:      schedule.New(schedule.Options{Random: m.random.Float64, DataCentre: s.dataCentreOf(i)}),
			receivedCounts: make([]int, s.Hosts),
		}
		h.scheduler.SetPeerCount(clock(0), s.Hosts-1)
		h.scheduler.Configure(clock(0), pools, roster)
		m.hosts = append(m.hosts, h)
	}
	for i := range s.Classes {
		m.report.Classes[s.Classes[i].Name] = &Outcome{}
	}
	return m
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

// generateArrivals submits new requests and the retries that are due.
func (m *model) generateArrivals() {
	factor := 1.0
	for _, b := range m.scenario.Bursts {
		if m.now >= b.From && m.now < b.To {
			factor *= b.Factor
		}
	}
	for i := range m.scenario.Classes {
		c := &m.scenario.Classes[i]
		for range m.poisson(c.PerSecond * factor * step.Seconds()) {
			r := &request{
				class: c, submitted: m.now,
				prompt: m.drawLength(c.Prompt, c.PromptSpread), output: m.drawLength(c.Output, c.OutputSpread),
			}
			r.estimatedOutput = max(1, int(float64(r.output)*math.Exp(estimateSpread*m.random.NormFloat64())))
			m.submit(r)
			m.report.Classes[c.Name].Arrived++
			m.report.Classes[c.Name].MaxValue += c.Value
		}
	}
	remaining := m.pendingRetries[:0]
	for _, r := range m.pendingRetries {
		if r.arrived > m.now {
			remaining = append(remaining, r)
			continue
		}
		m.submit(r)
	}
	m.pendingRetries = remaining
}

// poisson draws a number of arrivals. Its run time grows with the mean, which is far
// below 1 here.
func (m *model) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), m.random.Float64(), 0
	for product > limit {
		product *= m.random.Float64()
		n++
	}
	return n
}

// drawLength draws a length from a log-normal distribution.
func (m *model) drawLength(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*m.random.NormFloat64()-spread*spread/2)))
}

// submit submits a request to a random host.
func (m *model) submit(r *request) {
	m.requestCount++
	r.id = ident.Request(strconv.Itoa(m.requestCount))
	r.arrived = m.now
	r.host = m.random.IntN(len(m.hosts))
	r.prefillLeft, r.tokensLeft, r.firstEvent, r.lastEvent = float64(r.prompt), float64(r.output), 0, 0
	m.active[r.id] = r
	h := m.hosts[r.host]
	h.changed = true
	if m.scenario.Policy == LeastLocalRequests {
		h.leastLocalEngine(m.engines).accept(r)
		return
	}
	h.scheduler.Enqueue(clock(m.now), schedule.Request{
		ID:           r.id,
		Pool:         poolName,
		Rank:         schedule.Rank{Route: r.class.Priority},
		Arrived:      clock(m.now),
		Objective:    clock(r.submitted + r.class.Objective),
		Deadline:     clock(r.submitted + r.class.Deadline),
		AbandonTime:  clock(r.abandonTime()),
		PromptTokens: r.prompt,
		OutputTokens: r.estimatedOutput,
		Retryable:    r.class.Retryable,
	})
}

// runEngines advances the engines by one step.
func (m *model) runEngines() {
	for _, e := range m.engines {
		first, ended := e.step(&m.scenario, m.now, step)
		for _, r := range first {
			m.hosts[r.host].scheduler.RecordFirstEvent(clock(m.now), r.id)
		}
		for _, r := range e.running {
			if r.lastEvent == m.now {
				m.hosts[r.host].scheduler.RecordProgress(clock(m.now), r.id, 1)
			}
		}
		for _, r := range ended {
			m.finish(r, schedule.Served)
			m.recordServed(r)
		}
	}
}

func (m *model) recordServed(r *request) {
	o := m.report.Classes[r.class.Name]
	if r.firstEvent <= r.submitted+r.class.Objective {
		o.OnTime++
		o.EarnedValue += r.class.Value
		return
	}
	o.Late++
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
	for _, r := range m.active {
		if m.now < r.abandonTime() {
			continue
		}
		if r.engine != nil {
			r.engine.remove(r)
		}
		m.hosts[r.host].scheduler.Cancel(r.id)
		m.finish(r, schedule.Abandoned)
		m.report.Classes[r.class.Name].Abandoned++
	}
}

// runSchedulers exchanges state between the hosts and applies their decisions.
func (m *model) runSchedulers() {
	if m.scenario.Policy != Scheduled {
		return
	}
	for _, h := range m.hosts {
		h.publishState(m.now, m.scenario.MinPeerStateInterval)
	}
	m.exchangeAggregates()
	for i, h := range m.hosts {
		m.receivePeerStates(i, h)
		if h.scheduler.Queued() == 0 && !h.changed {
			continue
		}
		for _, action := range h.scheduler.Decide(clock(m.now)) {
			h.changed = true
			m.apply(action)
		}
	}
}

func (m *model) receivePeerStates(i int, h *host) {
	for j, other := range m.hosts {
		if i != j && h.dataCentre == other.dataCentre {
			h.receiveState(m.now, m.scenario.PeerStateDelay, j, other)
		}
	}
}

// exchangeAggregates sends the aggregate state of each data centre to the hosts of the
// others.
func (m *model) exchangeAggregates() {
	if m.scenario.AggregateInterval == 0 || m.now%m.scenario.AggregateInterval != 0 {
		return
	}
	for dc := range m.scenario.dataCentres() {
		sender := m.hosts[dc]
		sum, count := sender.scheduler.AggregateState(clock(m.now))
		for _, h := range m.hosts {
			if h.dataCentre != sender.dataCentre {
				h.scheduler.ApplyDataCentreState(clock(m.now), sender.dataCentre, count, sum)
			}
		}
	}
}

func (m *model) apply(action schedule.Action) {
	r := m.active[action.RequestID()]
	if r == nil {
		return
	}
	switch a := action.(type) {
	case *schedule.Dispatch:
		m.byName[a.Target.Name].accept(r)
	case *schedule.Refuse:
		delete(m.active, r.id)
		m.handleRefusal(r, a.RetryAfter)
	}
}

// handleRefusal schedules one retry if the deadline allows it.
func (m *model) handleRefusal(r *request, after time.Duration) {
	timeLeft := r.submitted + r.class.Deadline - m.now
	if r.retry || after > timeLeft {
		m.report.Classes[r.class.Name].Refused++
		return
	}
	retried := *r
	retried.retry, retried.engine = true, nil
	retried.arrived = m.now + min(after, timeLeft/3)
	m.pendingRetries = append(m.pendingRetries, &retried)
}
