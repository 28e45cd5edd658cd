package targetlimit

import "time"

// maxCredit is the largest part of an interval by which a request may come early because
// requests before it came late.
const maxCredit = 0.5

// Pacer spaces the requests that one host sends to one target evenly. The zero value permits
// none.
type Pacer struct {
	rate float64
	// next is when the next request may be sent.
	next time.Time
}

// SetRate sets the requests per second, which are a part of the limit. A host that had no rate
// first waits for one interval of the limit, because another one may just have sent a request.
func (p *Pacer) SetRate(now time.Time, rate, limit float64) {
	switch {
	case rate <= 0 || rate == p.rate:
	case p.rate == 0:
		p.next = now.Add(interval(max(limit, minPerSecond)))
	default:
		// The request before the next one was sent one interval of the former rate earlier.
		p.next = p.next.Add(interval(rate) - interval(p.rate))
	}
	p.rate = max(rate, 0)
}

// Rate returns the requests per second.
func (p *Pacer) Rate() float64 { return p.rate }

// Wait returns the time until the next request may be sent. It returns false if there is no
// rate.
func (p *Pacer) Wait(now time.Time) (time.Duration, bool) {
	if p.rate <= 0 {
		return 0, false
	}
	return max(p.next.Sub(now), 0), true
}

// Ready reports whether a request may be sent now.
func (p *Pacer) Ready(now time.Time) bool {
	wait, ok := p.Wait(now)
	return ok && wait == 0
}

// RecordSent records that a request is being sent.
func (p *Pacer) RecordSent(now time.Time) {
	if p.rate <= 0 {
		return
	}
	credit := time.Duration(maxCredit * float64(interval(p.rate)))
	if earliest := now.Add(-credit); p.next.Before(earliest) {
		p.next = earliest
	}
	p.next = p.next.Add(interval(p.rate))
}

// maxInterval bounds the time between two requests.
const maxInterval = time.Hour

func interval(rate float64) time.Duration {
	return time.Duration(min(float64(time.Second)/rate, float64(maxInterval)))
}
