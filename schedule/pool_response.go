package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// PoolResponse says when a host last got a response from any target of a pool.
type PoolResponse struct {
	Pool ident.Pool
	// At is on this host's clock.
	At time.Time
}

// responseReportWindow is how long a response is reported to other hosts.
const responseReportWindow = 2 * time.Second

// responses returns when this host last got responses.
func (s *Scheduler) responses(now time.Time) []PoolResponse {
	var list []PoolResponse
	for _, p := range s.pools {
		if at := p.lastResponseAt(); now.Sub(at) < responseReportWindow {
			list = append(list, PoolResponse{Pool: p.name, At: at})
		}
	}
	return list
}

// directResponses returns when this host and its direct peers last got responses.
func (s *Scheduler) directResponses(now time.Time) []PoolResponse {
	list := s.responses(now)
	for _, peer := range s.peers {
		for _, r := range peer.state.Responses {
			list = mergeResponse(list, r)
		}
	}
	return list
}

// mergeResponse adds a response, or replaces an older one of the same pool.
func mergeResponse(list []PoolResponse, r PoolResponse) []PoolResponse {
	for i := range list {
		if list[i].Pool == r.Pool {
			if r.At.After(list[i].At) {
				list[i] = r
			}
			return list
		}
	}
	return append(list, r)
}

// peersRespondedAt returns when another host last got a response from the pool, or zero.
func (s *Scheduler) peersRespondedAt(name ident.Pool) time.Time {
	var last time.Time
	for peer := range s.peerStates() {
		for _, r := range peer.state.Responses {
			if r.Pool == name && r.At.After(last) {
				last = r.At
			}
		}
	}
	return last
}
