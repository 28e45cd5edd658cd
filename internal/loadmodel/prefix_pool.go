package loadmodel

import (
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// PrefixPool returns a scenario of engines that cache prefixes: prompts that begin with hot
// templates, sessions that come again after some seconds, and prompts that share nothing and fill the
// memory. An engine has the memory, and about the load per slot, of those of size C in
// docs/OVERLOAD-AND-UPGRADES.md. States of other hosts are up to age old.
func PrefixPool(seed uint64, hosts, engines int, age time.Duration) Scenario {
	perEngine := func(perSecond float64) float64 { return perSecond * float64(engines) }
	speeds := []float64{1 / 0.6, 1 / 1.7, 1, 1 / 1.3}
	return Scenario{
		Seed:                 seed,
		Length:               60 * time.Second,
		Hosts:                hosts,
		PeerStateDelay:       2 * time.Millisecond,
		MinPeerStateInterval: age,
		EngineSpeeds:         slices.Repeat(speeds, (engines+len(speeds)-1)/len(speeds))[:engines],
		Slots:                6,
		PrefillRate:          50_000,
		TokenTime:            6 * time.Millisecond,
		KVCacheTokens:        290_806,
		Classes: []RequestClass{
			{
				Name: "template", PerSecond: perEngine(3), Priority: 0, Retryable: true,
				Objective: 600 * time.Millisecond, Deadline: 6 * time.Second,
				Prompt: 600, PromptSpread: 0.9, Output: 40, OutputSpread: 1, Value: 1, LateValue: 0.1,
				Prompts: &SharedPrompts{Templates: 12, TemplateTokens: 3000},
			},
			{
				Name: "session", PerSecond: perEngine(0.7), Priority: 1, Retryable: true,
				Objective: 600 * time.Millisecond, Deadline: 6 * time.Second,
				Prompt: 1200, PromptSpread: 0.9, Output: 60, OutputSpread: 1, Value: 1, LateValue: 0.1,
				Prompts: &SharedPrompts{Templates: 4, TemplateTokens: 1000, Turns: 6, ThinkTime: 6 * time.Second},
			},
			{
				Name: "document", PerSecond: perEngine(1.2), Priority: 2, Retryable: true,
				Objective: 1000 * time.Millisecond, Deadline: 8 * time.Second,
				Prompt: 6000, PromptSpread: 1, Output: 60, OutputSpread: 1, Value: 1, LateValue: 0.1,
				Prompts: &SharedPrompts{Templates: 1, TemplateTokens: 200},
			},
		},
	}
}

// cacheOf returns the memory that the engine with index i uses to cache prefixes.
func (s *Scenario) cacheOf(i int) int {
	if i < s.UncachedEngines {
		return 0
	}
	return s.KVCacheTokens
}

// countPredictions adds up what the hosts found out about their predictions.
func (m *model) countPredictions() {
	for _, h := range m.hosts {
		for _, load := range h.scheduler.PoolLoads(clock(m.now)) {
			m.report.Prefixes.Counts.Predicted += load.Prefixes.Predicted
			m.report.Prefixes.Counts.Confirmed += load.Prefixes.Confirmed
			m.report.Prefixes.Counts.Refuted += load.Prefixes.Refuted
			m.report.Prefixes.Counts.Evicted += load.Prefixes.Evicted
		}
	}
}

// pools returns the configuration of the hosts.
func (s *Scenario) pools() map[ident.Pool]*route.Pool {
	if s.Plain {
		return map[ident.Pool]*route.Pool{poolName: {Name: poolName}}
	}
	engine := &route.Engine{Slots: s.Slots}
	if !s.HidesMemory {
		engine.KVCacheTokens = s.KVCacheTokens
	}
	return map[ident.Pool]*route.Pool{poolName: {Name: poolName, Engine: engine}}
}

// reportFirstEvent records the time to a first event, and reports the load of the engine to the host.
func (m *model) reportFirstEvent(e *engine, r *request) {
	if e.cache == nil {
		return
	}
	p := &m.report.Prefixes
	p.FirstEvents = append(p.FirstEvents, m.now-r.submitted)
	m.hosts[r.host].scheduler.ReportLoad(clock(m.now), r.id, len(e.running)+len(e.queue))
}

const (
	// rosterDelay is the time after which hosts learn of the restart of an engine.
	rosterDelay = 300 * time.Millisecond
	// failureRetryDelay is the time after which a request of an engine that restarts is submitted
	// again.
	failureRetryDelay = 20 * time.Millisecond
)

// restartEngines restarts engines, which lose their requests and caches, and announces them again.
func (m *model) restartEngines() {
	s := &m.scenario
	if s.RestartedEngines == 0 {
		return
	}
	if m.now == s.RestartAt {
		for _, e := range m.engines[:s.RestartedEngines] {
			m.restart(e)
			entry := m.roster.Targets[e.name]
			entry.StartUnixMs = clock(s.RestartAt).UnixMilli()
			m.roster.Targets[e.name] = entry
		}
	}
	if m.now == s.RestartAt+rosterDelay {
		for _, h := range m.hosts {
			h.scheduler.Configure(clock(m.now), m.pools, m.roster)
		}
	}
}

func (m *model) restart(e *engine) {
	e.cache = newPrefixCache(m.scenario.KVCacheTokens, m.processed, &m.report.Prefixes)
	lost := slices.Concat(e.running, e.queue)
	e.running, e.queue = nil, nil
	for _, r := range lost {
		m.finish(r, schedule.Abandoned)
		retried := *r
		retried.retry, retried.engine, retried.pinned, retried.private = true, nil, nil, 0
		retried.arrived = m.now + failureRetryDelay
		m.pendingRetries = append(m.pendingRetries, &retried)
	}
}
