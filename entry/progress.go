package entry

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/pool"
)

// progressInterval is the time between two reports on one request.
const progressInterval = 100 * time.Millisecond

// progress counts the tokens of a running request and reports them to the
// owner in batches.
type progress struct {
	id      ident.Request
	grant   pool.Grant
	started time.Time
	onFirst func()

	mu       sync.Mutex
	tokens   int
	prefill  time.Duration
	reported int
	// mark is when the last reported token arrived.
	mark time.Time
	last time.Time

	stop chan struct{}
	done chan struct{}
}

func startProgress(id ident.Request, grant pool.Grant, onFirst func()) *progress {
	p := &progress{
		id:      id,
		grant:   grant,
		started: time.Now(),
		onFirst: onFirst,
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go p.run()
	return p
}

// add counts tokens that arrived now. The first ones are reported at once.
func (p *progress) add(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	if p.count(tokens, now) {
		p.onFirst()
		p.report(now)
	}
}

func (p *progress) count(tokens int, now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = p.tokens == 0
	p.tokens += tokens
	p.last = now
	if first {
		p.prefill = now.Sub(p.started)
		p.mark = now
	}
	return first
}

// finish ends the reports and returns the number of tokens and the time to the
// first one.
func (p *progress) finish() (tokens int, prefill time.Duration) {
	close(p.stop)
	<-p.done
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokens, p.prefill
}

func (p *progress) run() {
	defer close(p.done)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.report(now)
		case <-p.stop:
			return
		}
	}
}

// report sends nothing before the first token.
func (p *progress) report(now time.Time) {
	p.mu.Lock()
	if p.tokens == 0 {
		p.mu.Unlock()
		return
	}
	message := admission.Progress{
		ID:            p.id,
		Tokens:        p.tokens,
		SinceDispatch: now.Sub(p.started),
		Prefill:       p.prefill,
		Gap:           p.gap(now),
	}
	p.mu.Unlock()
	p.grant.Progress(message)
}

// gap returns the mean time between the tokens since the last report, or the
// time waited if there were none.
func (p *progress) gap(now time.Time) time.Duration {
	fresh := p.tokens - p.reported
	if fresh == 0 {
		return now.Sub(p.last)
	}
	gap := p.last.Sub(p.mark) / time.Duration(fresh)
	p.reported, p.mark = p.tokens, p.last
	return gap
}
