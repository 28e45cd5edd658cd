package loadmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cornelyard/cornelyard/schedule"
)

// session is a series of prompts, each of which begins with the previous one.
type session struct {
	class     *RequestClass
	blocks    []schedule.PromptBlock
	turnsLeft int
	// next is when the next prompt is submitted.
	next time.Duration
}

// firstPrivateBlock is the number of the first block that is no template.
const firstPrivateBlock = 1 << 32

// beginPrompt gives a new request a prompt that begins with a template. The length drawn for the
// request is that of the rest.
func (m *model) beginPrompt(r *request) {
	p := r.class.Prompts
	template := schedule.PromptBlock{Hash: uint64(drawRank(m.random, p.Templates) + 1), Tokens: p.TemplateTokens}
	s := &session{class: r.class, blocks: []schedule.PromptBlock{template}}
	for p.Turns > 0 && m.random.Float64() < 1-1/float64(p.Turns) {
		s.turnsLeft++
	}
	m.extendPrompt(r, s)
}

// drawRank draws an index below count. The probability of the nth is proportional to 1/n.
func drawRank(random *rand.Rand, count int) int {
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+1)
	}
	left := random.Float64() * sum
	for i := range count {
		left -= 1 / float64(i+1)
		if left < 0 {
			return i
		}
	}
	return count - 1
}

// extendPrompt makes the prompt of the request the next one of the session.
func (m *model) extendPrompt(r *request, s *session) {
	m.blockCount++
	s.blocks = append(s.blocks[:len(s.blocks):len(s.blocks)], schedule.PromptBlock{Hash: firstPrivateBlock + m.blockCount, Tokens: r.prompt})
	r.prompt = 0
	for _, b := range s.blocks {
		r.prompt += b.Tokens
	}
	r.blocks, r.session = s.blocks, s
}

// continueSession schedules the next prompt of a session whose last one was served.
func (m *model) continueSession(s *session) {
	if s.turnsLeft == 0 {
		return
	}
	s.turnsLeft--
	s.next = m.now + time.Duration(m.decisions.ExpFloat64()*float64(s.class.Prompts.ThinkTime))
	m.pendingTurns = append(m.pendingTurns, s)
}

// submitTurns submits the prompts of sessions that are due.
func (m *model) submitTurns() {
	factors, _ := m.arrivalFactors()
	remaining := m.pendingTurns[:0]
	for _, s := range m.pendingTurns {
		if s.next > m.now {
			remaining = append(remaining, s)
			continue
		}
		c := s.class
		r := &request{
			class: c, submitted: m.now,
			prompt: m.drawLength(c.Prompt, c.PromptSpread), output: m.drawLength(c.Output, c.OutputSpread),
		}
		r.estimatedOutput = max(1, int(float64(r.output)*math.Exp(estimateSpread*m.random.NormFloat64())))
		m.extendPrompt(r, s)
		m.submit(r, factors, m.decisions)
		m.report.Classes[c.Name].Arrived++
		m.report.Classes[c.Name].MaxValue += c.Value
	}
	m.pendingTurns = remaining
}
