package entry

import (
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/pool"
)

const (
	// progressCheckInterval is how often a request is checked for a due report.
	progressCheckInterval = 100 * time.Millisecond
	// maxProgressInterval is the longest time between two reports of one request.
	maxProgressInterval = time.Second
	// gapChangeFactor is the factor by which the gap between tokens must change to
	// be reported before maxProgressInterval has passed.
	gapChangeFactor = 1.5
)

// progress counts the tokens of a dispatched request. For a stream it reports them
// to the pool owner in batches. The tokens of a response that is not streamed
// arrive at once and give no information about prefill time and gaps.
type progress struct {
	id           ident.Request
	grant        pool.Grant
	stream       bool
	dispatchedAt time.Time
	onFirstToken func()

	mu             sync.Mutex
	tokens         int
	prefill        time.Duration
	reportedTokens int
	// reportedTokenTime is when the last reported token arrived.
	reportedTokenTime time.Time
	lastTokenTime     time.Time
	// lastReport is the time of the last report, and reportedGap the gap in it.
	lastReport  time.Time
	reportedGap time.Duration

	stop chan struct{}
	done chan struct{}
}

func startProgress(c *call, grant pool.Grant, onFirstToken func()) *progress {
	now := time.Now()
	p := &progress{
		id:            c.id,
		grant:         grant,
		stream:        c.stream,
		dispatchedAt:  now,
		lastTokenTime: now,
		lastReport:    now,
		onFirstToken:  onFirstToken,
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	go p.run()
	return p
}

// addTokens counts tokens that arrived now. It reports the first tokens
// immediately.
func (p *progress) addTokens(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	if p.countTokens(tokens, now) {
		p.onFirstToken()
		p.report(now)
	}
}

func (p *progress) countTokens(tokens int, now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first = p.stream && p.tokens == 0
	p.tokens += tokens
	p.lastTokenTime = now
	if first {
		p.prefill = now.Sub(p.dispatchedAt)
		p.reportedTokenTime = now
	}
	return first
}

// finish stops reporting and returns the number of tokens and the time from
// dispatch to the first token.
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
	ticker := time.NewTicker(progressCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if p.reportDue(now) {
				p.report(now)
			}
		case <-p.stop:
			return
		}
	}
}

// reportDue reports whether to send a report: at regular intervals, and earlier if
// the gap between tokens changed.
func (p *progress) reportDue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastReport) >= maxProgressInterval {
		return true
	}
	if p.tokens == 0 || p.reportedGap == 0 {
		return p.tokens > p.reportedTokens
	}
	if waited := now.Sub(p.lastTokenTime); waited > scaleGap(p.reportedGap) {
		return true
	}
	gap := p.currentGap(now)
	return gap > scaleGap(p.reportedGap) || scaleGap(gap) < p.reportedGap
}

func scaleGap(gap time.Duration) time.Duration {
	return time.Duration(float64(gap) * gapChangeFactor)
}

func (p *progress) report(now time.Time) {
	p.grant.Progress(p.nextReport(now))
}

func (p *progress) nextReport(now time.Time) admission.Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := p.currentGap(now)
	if newTokens := p.tokens - p.reportedTokens; newTokens > 0 && p.lastTokenTime.After(p.reportedTokenTime) {
		p.reportedGap = gap
	}
	p.lastReport = now
	p.reportedTokens, p.reportedTokenTime = p.tokens, p.lastTokenTime
	return admission.Progress{
		ID:            p.id,
		Tokens:        p.tokens,
		SinceDispatch: now.Sub(p.dispatchedAt),
		Prefill:       p.prefill,
		Gap:           gap,
	}
}

// currentGap returns the mean time between the tokens since the last report, or
// the time since the last token if there were none. The caller must hold mu.
func (p *progress) currentGap(now time.Time) time.Duration {
	newTokens := p.tokens - p.reportedTokens
	if newTokens == 0 {
		return now.Sub(p.lastTokenTime)
	}
	return p.lastTokenTime.Sub(p.reportedTokenTime) / time.Duration(newTokens)
}
