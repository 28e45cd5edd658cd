package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// distanceWindow is the length of each of the two windows over which the shortest response is
	// taken, and the time without a response after which it expires. It is long enough for a host with one request a second to get
	// responses from several data centres.
	distanceWindow = 10 * time.Second
	// minDistanceSamples is the least number of responses of a data centre for its distance. The
	// service time of a single one may differ from that of another by more than the distance.
	minDistanceSamples = 3
)

// shortestResponse tracks the shortest response time of the targets of a plain service in one data
// centre. It holds the minima of the current window and of the one before. Engines are left out
// because their response times differ with the prompts.
type shortestResponse struct {
	current  responseMinimum
	previous responseMinimum
	begunAt  time.Time
	lastAt   time.Time
}

// responseMinimum is the shortest of a number of response times.
type responseMinimum struct {
	time  time.Duration
	count int
}

// record adds the time from the dispatch of a request to the end of its response.
func (r *shortestResponse) record(now time.Time, elapsed time.Duration) {
	switch age := now.Sub(r.begunAt); {
	case age >= 2*distanceWindow:
		r.previous, r.current, r.begunAt = responseMinimum{}, responseMinimum{}, now
	case age >= distanceWindow:
		r.previous, r.current, r.begunAt = r.current, responseMinimum{}, now
	}
	r.lastAt = now
	r.current.add(responseMinimum{time: elapsed, count: 1})
}

// shortest returns the shortest response time, and false unless there were enough responses.
func (r *shortestResponse) shortest(now time.Time) (time.Duration, bool) {
	if r == nil || now.Sub(r.lastAt) >= distanceWindow {
		return 0, false
	}
	all := r.current
	all.add(r.previous)
	return all.time, all.count >= minDistanceSamples
}

func (m *responseMinimum) add(other responseMinimum) {
	if m.count == 0 || other.count > 0 && other.time < m.time {
		m.time = other.time
	}
	m.count += other.count
}

// recordResponseTime records the response time of a request that was served.
func (p *pool) recordResponseTime(now time.Time, r *runningRequest) {
	if p.engine != nil {
		return
	}
	shortest := p.shortestResponses[r.target.DataCentre]
	if shortest == nil {
		shortest = &shortestResponse{}
		p.shortestResponses[r.target.DataCentre] = shortest
	}
	shortest.record(now, now.Sub(r.dispatchedAt))
}

// distance returns by how much responses of a data centre take longer than those of this host's own.
// If several pools show it, the least difference counts: a target that is slow or has a queue makes
// the others larger. It returns false if no pool shows it.
func (s *Scheduler) distance(now time.Time, dc ident.DataCentre) (distance time.Duration, measured bool) {
	for _, p := range s.poolOrder {
		local, known := p.shortestResponses[s.dataCentre].shortest(now)
		if !known {
			continue
		}
		if remote, known := p.shortestResponses[dc].shortest(now); known {
			difference := max(remote-local, 0)
			if !measured || difference < distance {
				distance = difference
			}
			measured = true
		}
	}
	return distance, measured
}
