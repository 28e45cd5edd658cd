package entry

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/pool"
)

const (
	// progressCheck is the time between two looks whether a report is due.
	progressCheck = 100 * time.Millisecond
	// progressInterval is the longest time between two reports on one request.
	progressInterval = time.Second
	// paceChange is the factor by which the time between tokens changes until
	// it is reported before its time.
	paceChange = 1.5
)

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
	// sent is when the last report was made, and sentGap the gap it told.
	sent    time.Time
	sentGap time.Duration

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
		sent:    now,
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
	ticker := time.NewTicker(progressCheck)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if p.due(now) {
				p.report(now)
			}
		case <-p.stop:
			return
		}
	}
}

// due says whether the owner has to hear of the request: now and then, and at
// once if the target's pace changed.
func (p *progress) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sent) >= progressInterval {
		return true
	}
	if p.tokens == 0 || p.sentGap == 0 {
		return p.tokens > p.reported
	}
	if waited := now.Sub(p.last); waited > paceChanged(p.sentGap) {
		return true
	}
	gap := p.currentGap(now)
	return gap > paceChanged(p.sentGap) || paceChanged(gap) < p.sentGap
}

func paceChanged(gap time.Duration) time.Duration {
	return time.Duration(float64(gap) * paceChange)
}

func (p *progress) report(now time.Time) {
	p.grant.Progress(p.message(now))
}

func (p *progress) message(now time.Time) admission.Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := p.currentGap(now)
	if fresh := p.tokens - p.reported; fresh > 0 && p.last.After(p.mark) {
		p.sentGap = gap
	}
	p.sent = now
	p.reported, p.mark = p.tokens, p.last
	return admission.Progress{
		ID:            p.id,
		Tokens:        p.tokens,
		SinceDispatch: now.Sub(p.started),
		Prefill:       p.prefill,
		Gap:           gap,
	}
}

// currentGap returns the mean time between the tokens since the last report, or
// the time waited if there were none. The mutex is held.
func (p *progress) currentGap(now time.Time) time.Duration {
	fresh := p.tokens - p.reported
	if fresh == 0 {
		return now.Sub(p.last)
	}
	return p.last.Sub(p.mark) / time.Duration(fresh)
}
