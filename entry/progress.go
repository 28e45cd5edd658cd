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

// progress counts the tokens of a running request. For a stream it reports them
// to the owner in batches; the tokens of a whole answer come all at once and
// tell nothing about prefill and gaps.
type progress struct {
	id      ident.Request
	grant   pool.Grant
	stream  bool
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

func startProgress(c *call, grant pool.Grant, onFirst func()) *progress {
	now := time.Now()
	p := &progress{
		id:      c.id,
		grant:   grant,
		stream:  c.stream,
		started: now,
		last:    now,
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
	first = p.stream && p.tokens == 0
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
	if !p.stream {
		return
	}
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

func (p *progress) report(now time.Time) {
	p.grant.Progress(p.message(now))
}

func (p *progress) message(now time.Time) admission.Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return admission.Progress{
		ID:            p.id,
		Tokens:        p.tokens,
		SinceDispatch: now.Sub(p.started),
		Prefill:       p.prefill,
		Gap:           p.gap(now),
	}
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
