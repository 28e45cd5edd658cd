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
	// step is the resolution of time.
	step = time.Millisecond
	// poolName is the one pool of the model.
	poolName ident.Pool = "pool"
	// guessSpread is how far callers' estimates of the answer's length are off.
	guessSpread = 0.5
	// warmUp is the time before the first arrival that the schedulers know.
	warmUp = time.Second
)

// model is the state of one run.
type model struct {
	setup   Scenario
	random  *rand.Rand
	now     time.Duration
	engines []*engine
	byName  map[ident.Target]*engine
	hosts   []*host
	// open holds the requests that have no end yet, and returns those that come
	// back later.
	open    map[ident.Request]*request
	returns []*request
	count   int
	report  Report
}

// Run plays a setup.
func Run(s Scenario) Report {
	m := newModel(s)
	for m.now < s.Length {
		m.now += step
		m.loseEngines()
		m.arrive()
		m.work()
		m.leave()
		m.decide()
	}
	return m.report
}

func newModel(s Scenario) *model {
	m := &model{
		setup:  s,
		random: rand.New(rand.NewPCG(s.Seed, 1)),
		byName: make(map[ident.Target]*engine),
		open:   make(map[ident.Request]*request),
		report: Report{Classes: make(map[string]*Outcome)},
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
			name:       ident.Host(strconv.Itoa(i)),
			dataCentre: s.dataCentreOf(i),
			scheduler:  schedule.New(schedule.Options{Random: m.random.Float64, DataCentre: s.dataCentreOf(i)}),
			heard:      make([]int, s.Hosts),
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

// clock turns the model's time into a time of day.
func clock(at time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(warmUp + at) }

func (m *model) loseEngines() {
	if m.setup.FailedEngines == 0 || m.now < m.setup.FailAt || m.engines[0].lost {
		return
	}
	for _, e := range m.engines[:m.setup.FailedEngines] {
		e.lost = true
	}
}

// arrive brings new requests and those that come back.
func (m *model) arrive() {
	factor := 1.0
	for _, b := range m.setup.Bursts {
		if m.now >= b.From && m.now < b.To {
			factor *= b.Factor
		}
	}
	for i := range m.setup.Classes {
		c := &m.setup.Classes[i]
		for range m.poisson(c.PerSecond * factor * step.Seconds()) {
			r := &request{
				class: c, begun: m.now,
				prompt: m.draw(c.Prompt, c.PromptSpread), output: m.draw(c.Output, c.OutputSpread),
			}
			r.guess = max(1, int(float64(r.output)*math.Exp(guessSpread*m.random.NormFloat64())))
			m.enter(r)
			m.report.Classes[c.Name].Arrived++
			m.report.Classes[c.Name].MaxValue += c.Value
		}
	}
	waiting := m.returns[:0]
	for _, r := range m.returns {
		if r.arrived > m.now {
			waiting = append(waiting, r)
			continue
		}
		m.enter(r)
	}
	m.returns = waiting
}

// poisson draws a number of arrivals; the mean is far below 1.
func (m *model) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), m.random.Float64(), 0
	for product > limit {
		product *= m.random.Float64()
		n++
	}
	return n
}

// draw returns a number with the mean and the spread of a log-normal distribution.
func (m *model) draw(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*m.random.NormFloat64()-spread*spread/2)))
}

// enter hands a request to one of the hosts.
func (m *model) enter(r *request) {
	m.count++
	r.id = ident.Request(strconv.Itoa(m.count))
	r.arrived = m.now
	r.host = m.random.IntN(len(m.hosts))
	r.prefillLeft, r.tokensLeft, r.first, r.last = float64(r.prompt), float64(r.output), 0, 0
	m.open[r.id] = r
	h := m.hosts[r.host]
	h.changed = true
	if m.setup.Policy == LeastLocalRequests {
		h.leastOwn(m.engines).accept(r)
		return
	}
	h.scheduler.Enqueue(clock(m.now), schedule.Request{
		ID:           r.id,
		Pool:         poolName,
		Rank:         schedule.Rank{Route: r.class.Priority},
		Arrived:      clock(m.now),
		Objective:    clock(r.begun + r.class.Objective),
		Deadline:     clock(r.begun + r.class.Deadline),
		AbandonTime:  clock(r.leaves()),
		PromptTokens: r.prompt,
		OutputTokens: r.guess,
		Retryable:    r.class.Retryable,
	})
}

// work lets the engines go on.
func (m *model) work() {
	for _, e := range m.engines {
		first, ended := e.step(&m.setup, m.now, step)
		for _, r := range first {
			m.hosts[r.host].scheduler.RecordFirstEvent(clock(m.now), r.id)
		}
		for _, r := range e.running {
			if r.last == m.now {
				m.hosts[r.host].scheduler.RecordProgress(clock(m.now), r.id, 1)
			}
		}
		for _, r := range ended {
			m.end(r, schedule.Served)
			m.credit(r)
		}
	}
}

func (m *model) credit(r *request) {
	o := m.report.Classes[r.class.Name]
	if r.first <= r.begun+r.class.Objective {
		o.OnTime++
		o.EarnedValue += r.class.Value
		return
	}
	o.Late++
	o.EarnedValue += r.class.LateValue
}

func (m *model) end(r *request, result schedule.Result) {
	delete(m.open, r.id)
	m.hosts[r.host].changed = true
	if m.setup.Policy == Scheduled {
		m.hosts[r.host].scheduler.Finish(clock(m.now), r.id, result)
	}
}

// leave takes out the callers that waited in vain.
func (m *model) leave() {
	for _, r := range m.open {
		if m.now < r.leaves() {
			continue
		}
		if r.engine != nil {
			r.engine.drop(r)
		}
		m.hosts[r.host].scheduler.Cancel(r.id)
		m.end(r, schedule.Abandoned)
		m.report.Classes[r.class.Name].Abandoned++
	}
}

// decide lets the hosts hear of each other and carry out their decisions.
func (m *model) decide() {
	if m.setup.Policy != Scheduled {
		return
	}
	for _, h := range m.hosts {
		h.tell(m.now, m.setup.MinPeerStateInterval)
	}
	m.sum()
	for i, h := range m.hosts {
		m.hear(i, h)
		if h.scheduler.Queued() == 0 && !h.changed {
			continue
		}
		for _, action := range h.scheduler.Decide(clock(m.now)) {
			h.changed = true
			m.carryOut(action)
		}
	}
}

func (m *model) hear(i int, h *host) {
	for j, other := range m.hosts {
		if i != j && h.dataCentre == other.dataCentre {
			h.hear(m.now, m.setup.PeerStateDelay, j, other)
		}
	}
}

// sum lets each data centre tell the others what its hosts have, all together.
func (m *model) sum() {
	if m.setup.AggregateInterval == 0 || m.now%m.setup.AggregateInterval != 0 {
		return
	}
	for dc := range m.setup.dataCentres() {
		sender := m.hosts[dc]
		sum, count := sender.scheduler.AggregateState(clock(m.now))
		for _, h := range m.hosts {
			if h.dataCentre != sender.dataCentre {
				h.scheduler.ApplyDataCentreState(clock(m.now), sender.dataCentre, count, sum)
			}
		}
	}
}

func (m *model) carryOut(action schedule.Action) {
	r := m.open[action.RequestID()]
	if r == nil {
		return
	}
	switch a := action.(type) {
	case *schedule.Dispatch:
		m.byName[a.Target.Name].accept(r)
	case *schedule.Refuse:
		delete(m.open, r.id)
		m.refused(r, a.RetryAfter)
	}
}

// refused has the caller come back once, as far as its time allows.
func (m *model) refused(r *request, after time.Duration) {
	left := r.begun + r.class.Deadline - m.now
	if r.retry || after > left {
		m.report.Classes[r.class.Name].Refused++
		return
	}
	back := *r
	back.retry, back.engine = true, nil
	back.arrived = m.now + min(after, left/3)
	m.returns = append(m.returns, &back)
}
