package loadmodel

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/schedule"
)

// generateArrivals submits new requests and the retries that are due.
func (m *model) generateArrivals() {
	factors, factor := m.arrivalFactors()
	for i := range m.scenario.Classes {
		c := &m.scenario.Classes[i]
		for range m.poisson(c.PerSecond * factor * step.Seconds()) {
			r := &request{
				class: c, submitted: m.now, content: uint64(m.requestCount) + 1, atOnce: c.RetriesAtOnce,
				prompt: m.drawLength(c.Prompt, c.PromptSpread), output: m.drawLength(c.Output, c.OutputSpread),
			}
			r.estimatedOutput = max(1, int(float64(r.output)*math.Exp(estimateSpread*m.random.NormFloat64())))
			if c.Prompts != nil {
				m.beginPrompt(r)
			}
			m.submit(r, factors, m.random)
			m.report.Classes[c.Name].Arrived++
			m.report.Classes[c.Name].BySize[c.sizeOf(r.output)].Arrived++
			m.report.Classes[c.Name].MaxValue += c.Value
		}
	}
	m.submitTurns()
	remaining := m.pendingRetries[:0]
	for _, r := range m.pendingRetries {
		if r.arrived > m.now {
			remaining = append(remaining, r)
			continue
		}
		m.submit(r, factors, m.decisions)
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

// submit submits a request to a host drawn from random.
func (m *model) submit(r *request, factors []float64, random *rand.Rand) {
	m.requestCount++
	r.sequence = m.requestCount
	r.id = ident.Request(strconv.Itoa(m.requestCount))
	r.arrived = m.now
	r.host = m.drawHost(factors, random)
	r.prefilling, r.predicted = false, 0
	r.prefillLeft, r.tokensLeft, r.firstEvent, r.lastEvent = float64(r.prompt), float64(r.output), 0, 0
	if m.scenario.Plain {
		r.prefillLeft = 0
	}
	m.active[r.id] = r
	h := m.hosts[r.host]
	h.changed, h.arrival = true, true
	if m.scenario.Policy == LeastLocalRequests {
		h.leastLocalEngine(m.engines).accept(r)
		return
	}
	h.scheduler.Enqueue(clock(m.now), schedule.Request{
		ID:           r.id,
		Pool:         poolName,
		Team:         r.class.Team,
		Rank:         schedule.Rank{Route: r.class.Priority},
		Arrived:      clock(m.now),
		Objective:    clock(r.arrived + r.class.Objective),
		Deadline:     clock(r.submitted + r.class.Deadline),
		AbandonTime:  clock(r.abandonTime()),
		PromptTokens: r.prompt,
		OutputTokens: r.estimatedOutput,
		PromptBlocks: r.blocks,
		Retryable:    r.class.Retryable,
		Content:      quarantine.NewContent(quarantine.Digest(r.content), nil),
	})
}
