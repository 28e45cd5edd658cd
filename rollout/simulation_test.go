package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	tick           = 10 * time.Millisecond
	reportInterval = 10 // ticks between two reports of a host, and between two decisions
	hostCount      = 71
	version        = "v2"
)

var testOptions = Options{ExposureShare: 0.1, ExposureAllowance: 50, RollbackTime: 5 * time.Second}

// simRoute is a route with its part of the requests, the rate at which its requests fail by
// themselves, and the median duration on a target of speed 1.
type simRoute struct {
	part, failures float64
	duration       time.Duration
}

// fault says how a version is bad.
type fault struct {
	failures float64 // part of the responses that are failures
	slower   float64 // factor of durations; 0 is none
	after    time.Duration
	load     float64 // share of the running requests from which it is bad
	oneRoute bool    // only the second route
}

func (f fault) isBad() bool { return f.failures > 0 || f.slower > 0 }

// scenario is one simulated rollout.
type scenario struct {
	rate       float64
	duration   time.Duration
	routes     []simRoute
	targets    int // on each side
	minSpeed   float64
	maxSpeed   float64
	fault      fault
	burst      float64       // factor of the rate from 0.4 to 0.6 of the duration
	killAtStep bool          // kills the deciding host at each step
	storeDown  time.Duration // how long the store is down after each step
	cut        bool          // a data centre of 20 hosts is cut off from 0.3 of the duration on
	lateHosts  bool          // a third of the hosts start at half of the duration
	noTargets  bool          // no candidate appears
	crash      bool          // a third of the targets of each side crash at 0.45 of the duration
	restart    bool          // all hosts restart at 0.45 of the duration
}

type simRun struct {
	host     int
	route    int
	side     Side
	target   int
	started  int
	failed   bool
	isBad    bool
	duration time.Duration
}

type simMessage struct {
	host     int
	report   Report
	progress Progress
}

// result is what the rollout did.
type result struct {
	phase        Phase
	endedAt      time.Duration
	requests     int
	exposed      int
	oldRunning   int // at the end
	bad          int
	lateRequests int // to candidates, later than RollbackTime after the 50th bad response
	verdict      Verdict
	steps        int
}

type simulation struct {
	scenario
	random     *rand.Rand
	speeds     [2][]float64
	gates      []Gate
	reports    []Report
	evidence   Evidence
	controller *Controller
	progress   Progress
	ends       map[int][]simRun
	messages   map[int][]simMessage
	running    [2]int
	killed     int
	storeUpAt  time.Duration
	fiftiethAt time.Duration
	result     result
}

func simulate(seed uint64, sc scenario) result {
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 1)), controller: NewController(testOptions),
		gates: make([]Gate, hostCount), ends: map[int][]simRun{}, messages: map[int][]simMessage{},
	}
	for range hostCount {
		s.reports = append(s.reports, Report{})
	}
	for side := range s.speeds {
		for range sc.targets {
			s.speeds[side] = append(s.speeds[side], sc.minSpeed*math.Pow(sc.maxSpeed/sc.minSpeed, s.random.Float64()))
		}
	}
	for n := range int(sc.duration / tick) {
		s.step(n)
	}
	s.decide(int(sc.duration / tick))
	s.result.phase = s.progress.Phase
	return s.result
}

func (s *simulation) at(n int) time.Duration { return time.Duration(n) * tick }

func (s *simulation) clock(n int) time.Time { return time.Unix(1_000_000, 0).Add(s.at(n)) }

func (s *simulation) isCut(host int, n int) bool {
	return s.cut && host >= hostCount-20 && s.at(n) > s.duration*3/10
}

func (s *simulation) isUp(host, n int) bool {
	return host >= s.killed && (!s.lateHosts || host%3 > 0 || s.at(n) > s.duration/2)
}

func (s *simulation) step(n int) {
	for _, m := range s.messages[n] {
		switch {
		case s.isCut(m.host, n) || !s.isUp(m.host, n):
		case m.report != nil:
			s.evidence.Record(string(rune('0'+m.host)), 1, m.report)
		default:
			s.gates[m.host].Apply(s.clock(n), m.progress)
		}
	}
	delete(s.messages, n)
	if s.at(n) == s.faultAt() {
		s.strike(n)
	}
	for _, r := range s.ends[n] {
		s.end(n, r)
	}
	delete(s.ends, n)
	rate := s.rate
	if s.burst > 0 && s.at(n) > s.duration*4/10 && s.at(n) < s.duration*6/10 {
		rate *= s.burst
	}
	for arrival := s.random.ExpFloat64() / rate; arrival < tick.Seconds(); arrival += s.random.ExpFloat64() / rate {
		s.arrive(n)
	}
	for host := n % reportInterval; host < hostCount; host += reportInterval {
		s.send(n, simMessage{host: host, report: s.reports[host].clone()})
	}
	if n%reportInterval == 0 {
		s.decide(n)
	}
}

func (s *simulation) send(n int, m simMessage) {
	delay := 20 + s.random.IntN(31)
	s.messages[n+delay] = append(s.messages[n+delay], m)
}

func (s *simulation) count(host, route int, side Side, add Counts) {
	key := CountKey{Route: RouteID(route), Side: side}
	counts := s.reports[host][key]
	counts.Add(add)
	s.reports[host][key] = counts
}

func (s *simulation) arrive(n int) {
	host := s.killed + s.random.IntN(hostCount-s.killed)
	for !s.isUp(host, n) {
		host = s.killed + s.random.IntN(hostCount-s.killed)
	}
	route, pick := 0, s.random.Float64()
	for pick >= s.routes[route].part && route < len(s.routes)-1 {
		pick -= s.routes[route].part
		route++
	}
	side := s.gates[host].Choose(s.clock(n), s.random.Float64())
	s.result.requests++
	r := simRun{host: host, route: route, side: side, target: s.randomTarget(n), started: n}
	speed := s.speeds[side][r.target]
	duration := s.routes[route].duration.Seconds() * math.Exp(0.5*s.random.NormFloat64()) * speed
	r.failed = s.random.Float64() < s.routes[route].failures
	if side == New {
		s.result.exposed++
		if s.fiftiethAt > 0 && s.at(n) > s.fiftiethAt+testOptions.RollbackTime {
			s.result.lateRequests++
		}
		if s.misbehaves(n, route) {
			failed := s.random.Float64() < s.fault.failures
			r.failed = r.failed || failed
			r.isBad = failed || s.fault.slower > 0
			duration *= max(s.fault.slower, 1)
		}
	}
	r.duration = time.Duration(duration * float64(time.Second))
	s.running[side]++
	s.count(host, route, side, Counts{Dispatched: 1})
	end := n + 1 + int(r.duration/tick)
	s.ends[end] = append(s.ends[end], r)
}

func (s *simulation) faultAt() time.Duration { return (s.duration * 45 / 100).Truncate(tick) }

// targetsLeft returns the number of targets of each side.
func (s *simulation) targetsLeft(n int) int {
	if s.crash && s.at(n) >= s.faultAt() {
		return s.targets - s.targets/3
	}
	return s.targets
}

// randomTarget returns a target that has not crashed. The last ones crash.
func (s *simulation) randomTarget(n int) int { return s.random.IntN(s.targetsLeft(n)) }

// strike lets the targets crash, with the runs on them, or restarts all hosts.
func (s *simulation) strike(n int) {
	if s.crash {
		for end, runs := range s.ends {
			for i := range runs {
				if runs[i].target >= s.targetsLeft(n) && end > n {
					runs[i].failed = true
					s.ends[n] = append(s.ends[n], runs[i])
				}
			}
			if end > n {
				s.ends[end] = slices.DeleteFunc(runs, func(r simRun) bool { return r.target >= s.targetsLeft(n) })
			}
		}
	}
	if s.restart {
		s.evidence, s.controller = Evidence{}, NewController(testOptions)
		s.messages, s.gates = map[int][]simMessage{}, make([]Gate, hostCount)
		for host := range s.reports {
			s.reports[host] = Report{}
		}
	}
}

func (s *simulation) misbehaves(n, route int) bool {
	f := s.fault
	load := float64(s.running[New]) / float64(max(s.running[Old]+s.running[New], 1))
	return f.isBad() && s.at(n) >= f.after && load >= f.load && (!f.oneRoute || route == 1)
}

func (s *simulation) end(n int, r simRun) {
	s.running[r.side]--
	if r.isBad {
		if s.result.bad++; s.result.bad == 50 {
			s.fiftiethAt = s.at(n)
		}
	}
	counts := Counts{Successes: 1}
	if r.failed {
		counts = Counts{Failures: 1}
	} else {
		counts.FirstEvents.Record(r.duration)
	}
	s.count(r.host, r.route, r.side, counts)
	if r.side == New && r.failed && Judge(s.reports[r.host]).Outcome == Bad {
		s.gates[r.host].Block()
	}
}

// decide lets the deciding host decide, store and send the progress.
func (s *simulation) decide(n int) {
	situation := Situation{
		Order:    Order{ID: OrderID{Era: 1, Row: 7}, Pool: ident.Pool("pool"), Version: version, Duration: s.duration},
		Progress: s.progress, NowMs: s.at(n).Milliseconds(), Evidence: s.evidence.Total(),
		OldRunning: s.running[Old], OldTargets: s.targetsLeft(n), OldSlots: s.targets * 8,
	}
	if !s.noTargets {
		situation.Candidates, situation.CandidateSlots = s.targetsLeft(n), s.targets*8
	}
	next, changed, verdict := s.controller.Decide(s.clock(n), situation)
	if changed && (next.Phase == RolledBack || s.at(n) >= s.storeUpAt) {
		s.apply(n, next, verdict)
	}
	if s.progress.Phase != 0 {
		for host := range hostCount {
			s.send(n, simMessage{host: host, progress: s.progress})
		}
	}
}

func (s *simulation) apply(n int, next Progress, verdict Verdict) {
	s.progress = next
	s.result.steps++
	s.storeUpAt = s.at(n) + s.storeDown
	if next.Phase != InProgress {
		s.result.endedAt, s.result.verdict, s.result.oldRunning = s.at(n), verdict, s.running[Old]
	}
	if s.killAtStep {
		s.killed++
		s.controller = NewController(testOptions)
	}
}
