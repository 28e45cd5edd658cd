package schedule

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// memoryWindow is the time within which other hosts learn what this one has sent or queued.
	// States are sent to far hosts every 100 to 200 ms and then travel for some milliseconds.
	memoryWindow = 250 * time.Millisecond
	// lateSlotFactor is how many times the slots of a target count as filled while states are
	// late, since several hosts may see the same slot free. Memory is ample if it suffices for that.
	lateSlotFactor = 4
	// queuedRoomDivisor divides the room among the requests of this window and those of the one before,
	// which other hosts do not know yet. immediateRoomDivisor is twice that, because requests that have
	// not waited use as much.
	queuedRoomDivisor    = 2
	immediateRoomDivisor = 4
	// maxBytesPerToken is the largest size of a token in a request body. One takes about four
	// bytes of text, and up to four times as many if its characters are escaped in JSON.
	maxBytesPerToken = 16
)

// memoryTurn is this host's place in the order in which hosts fill the memory of a target during
// one window.
type memoryTurn struct {
	window int64
	ahead  int
	// sentIn is the last window in which this host sent the target a request that took a turn.
	sentIn int64
}

// memoryTokens returns the memory that a request needs on a target, in tokens. A body that is larger
// than its tokens explain counts by its bytes.
func (r *Request) memoryTokens() int {
	return max(r.PromptTokens, r.BodyBytes/maxBytesPerToken) + r.OutputTokens
}

// fitsMemory reports whether the target has room for the request. A request that is too large for
// any target is sent to an idle one, which may reject it.
//
// The states of many hosts are so late that several may fill the same room at once. Unless it
// suffices for all of them, they take turns: an order of the hosts that changes with each window
// and differs between targets. At once, a host sends only if the room suffices for all hosts that
// come before it. Once its request has waited for a window, all know it, and only hosts that have
// reported queued requests count.
func (s *Scheduler) fitsMemory(now time.Time, p *pool, w *queuedRequest, t *target) bool {
	if !p.knowsMemory() {
		return true
	}
	need, left := w.request.memoryTokens(), p.memoryLeft(t)
	switch {
	case need > left && t.kv+t.peers.KVTokens != 0:
		return false
	case !s.takesTurn(now, p, w.request, t):
		return true
	}
	window := s.memoryWindowAt(now)
	if t.memoryTurn.sentIn == window {
		return false
	}
	// Others saw more room if they hadn't learned yet what this host has.
	growth, size := t.memoryGrowth.total(now), max(need, p.meanMemory())
	atOnce := left+growth >= immediateRoomDivisor*size
	parts := queuedRoomDivisor
	if atOnce {
		parts = immediateRoomDivisor
	}
	if now.Sub(w.request.Arrived) < memoryWindow {
		return atOnce && parts*(s.turnAhead(t, window)+1)*size <= left-growth
	}
	ahead := s.queuedAhead(p, t, window)
	if parts*(ahead+1)*size <= left-growth {
		return true
	}
	// The room suffices for one request. Only the first host of every second window may fill it, if
	// the hosts of the one before can't have sent a request.
	return ahead == 0 && window%2 == 0 && left+growth < queuedRoomDivisor*size
}

// takesTurn reports whether hosts take turns to send the target requests like r, because its memory
// doesn't suffice for all that may be sent while states are late.
func (s *Scheduler) takesTurn(now time.Time, p *pool, r *Request, t *target) bool {
	if !s.ratedHosts() || !p.knowsMemory() {
		return false
	}
	need, free := lateSlotFactor*r.memoryTokens(), max(t.Slots-t.busySlots(now), 1)
	return need*t.Slots > p.memoryRoom() || need*free > p.memoryLeft(t)
}

// memoryRoom returns how many tokens of running requests fit into an idle target of the pool.
func (p *pool) memoryRoom() int { return int(float64(p.engine.KVCacheTokens) * (1 - kvReserve)) }

// memoryLeft returns how many tokens the target has room for beside the requests that this host
// knows of.
func (p *pool) memoryLeft(t *target) int { return p.memoryRoom() - t.kv - t.peers.KVTokens }

// turnAhead returns how many hosts come before this one in the order of a window.
func (s *Scheduler) turnAhead(t *target, window int64) int {
	if t.memoryTurn.window != window {
		own := turnOf(t.Name, window, s.host)
		t.memoryTurn.window, t.memoryTurn.ahead = window, 0
		for host := range s.hostDataCentres {
			if turnOf(t.Name, window, host) < own {
				t.memoryTurn.ahead++
			}
		}
	}
	return t.memoryTurn.ahead
}

// queuedAhead returns how many hosts that come before this one have reported queued requests. Of those
// known in aggregate, a part according to this host's place counts, rounded up. While the states of
// some hosts are missing, all hosts count.
func (s *Scheduler) queuedAhead(p *pool, t *target, window int64) int {
	own, ahead, place := turnOf(t.Name, window, s.host), 0, s.turnAhead(t, window)
	if s.peersMissing {
		return place
	}
	for host, peer := range s.peers {
		if peer.queues(p.name) > 0 && turnOf(t.Name, window, host) < own {
			ahead++
		}
	}
	for _, dc := range s.dcAggregates {
		ahead += (dc.queues(p.name)*place + s.peerCount - 1) / max(s.peerCount, 1)
	}
	return min(ahead, place)
}

// recordTurn records that this host sends the target a request.
func (s *Scheduler) recordTurn(now time.Time, p *pool, r *Request, t *target) {
	if s.takesTurn(now, p, r, t) {
		t.memoryTurn.sentIn = s.memoryWindowAt(now)
	}
	if s.ratedHosts() && p.knowsMemory() {
		t.memoryGrowth.add(now, r.memoryTokens())
	}
}

// memoryWindowAt returns the number of the window, by the clock that all hosts share if it is known.
func (s *Scheduler) memoryWindowAt(now time.Time) int64 {
	ms := s.sharedClock.now(now)
	if ms == 0 {
		ms = now.UnixMilli()
	}
	return ms / memoryWindow.Milliseconds()
}

// turnOf returns the place of a host in the order of a window.
func turnOf(t ident.Target, window int64, host ident.Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(window)))
	_, _ = d.WriteString(string(t))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

// queues returns how many requests the hosts of a state have queued in a pool.
func (p *peerState) queues(name ident.Pool) int {
	count := 0
	for i := range p.state.Backlogs {
		if b := &p.state.Backlogs[i]; b.Pool == name {
			count += b.Count
		}
	}
	return count
}

// meanMemory returns the mean memory of the requests that all hosts run in the pool, in tokens.
func (p *pool) meanMemory() int {
	tokens, running := 0, 0
	for _, t := range p.targets {
		tokens += t.kv + t.peers.KVTokens
		running += t.running + t.peers.Running
	}
	return tokens / max(running, 1)
}
