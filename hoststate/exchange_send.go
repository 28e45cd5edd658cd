package hoststate

import (
	"context"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

// sendLoop sends the state after changes and at each heartbeat, until ctx is done. It wakes up once
// for each state, because a wake-up of an idle process costs as much as sending one.
func (e *Exchange) sendLoop(ctx context.Context, conn *ipv4.PacketConn) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	var notBefore time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.sendNow:
			periodic.Sleep(ctx, time.Until(notBefore))
		}
		e.clearTrigger()
		now, peers := time.Now(), e.peers.Load()
		e.sendState(conn, peers, now)
		delay := e.sendDelay(peers)
		notBefore = now.Add(delay)
		timer.Reset(delay + e.heartbeatDelay(peers, notBefore))
	}
}

// clearTrigger drops a request to send, because the state that is sent next has its change.
func (e *Exchange) clearTrigger() {
	select {
	case <-e.sendNow:
	default:
	}
}

// sendDelay returns how long to wait before the next state after the one that was sent last.
func (e *Exchange) sendDelay(peers *receivers) time.Duration {
	interval := peers.nearInterval(e.pressure.High(time.Now()))
	bytes := e.nearBytes
	e.nearBytes = 0
	if peers.fullMesh() {
		return interval
	}
	return max(interval, e.pacer.delay(bytes))
}

// heartbeatDelay returns when to send next if nothing changes. The far peers are not left
// waiting for the heartbeat after their message is due.
func (e *Exchange) heartbeatDelay(peers *receivers, now time.Time) time.Duration {
	if len(peers.far) == 0 {
		return heartbeatInterval
	}
	return min(heartbeatInterval, max(peers.farInterval()-now.Sub(e.lastFar), minSendInterval))
}

// sendState sends the state to the near peers, the changes since their last message to the
// far peers, and the aggregate to its receivers; the latter two only at intervals.
func (e *Exchange) sendState(conn *ipv4.PacketConn, peers *receivers, now time.Time) {
	state := e.options.LocalState(now)
	e.pressure.Record(now, &state.Schedule)
	near := state
	near.TeamUsage = e.nearUsage.changes(now, state.TeamUsage)
	if !peers.fullMesh() {
		e.nearObservations.apply(now, &near.Schedule)
	}
	e.nearBytes += e.broadcast(now, conn, &near, peers.toNear)
	if len(peers.far) > 0 {
		e.farState.Add(&state)
		e.sendFar(conn, peers, now)
	}
	if len(peers.aggregateReceivers) > 0 && e.aggregateDue(now, peers.AggregateInterval()) {
		e.lastAggregate = now
		aggregate := e.options.AggregateState(now)
		aggregate.TeamUsage = e.aggregateUsage.changes(now, aggregate.TeamUsage)
		e.aggregateBytes = e.broadcast(now, conn, &aggregate, peers.toAggregateReceivers)
	}
}

// sendFar sends the far peers what has changed since their last message, if that is due.
func (e *Exchange) sendFar(conn *ipv4.PacketConn, peers *receivers, now time.Time) {
	if !e.farDue(now, peers.minFarInterval()) {
		return
	}
	e.lastFar = now
	state := e.takeFarState(now)
	state.TeamUsage = e.farUsage.changes(now, state.TeamUsage)
	e.farObservations.apply(now, &state.Schedule)
	e.farBytes = e.broadcast(now, conn, &state, peers.toFar)
}

// takeFarState returns the message to the far peers, without what can wait while the link is busy.
func (e *Exchange) takeFarState(now time.Time) Message {
	if e.budget.covers(now, e.farBytes) {
		return e.farState.Take()
	}
	e.traffic.shortened.Add(1)
	return e.farState.TakeShort()
}

// farDue reports whether the far peers get a message, which may wait beyond the interval for the link.
func (e *Exchange) farDue(now time.Time, interval time.Duration) bool {
	return now.Sub(e.lastFar) >= e.deferred(now, interval, e.farBytes)
}

// aggregateDue is like farDue for the aggregate.
func (e *Exchange) aggregateDue(now time.Time, interval time.Duration) bool {
	return now.Sub(e.lastAggregate) >= e.deferred(now, interval, e.aggregateBytes)
}

// deferred returns the interval until the link has room for a number of bytes.
func (e *Exchange) deferred(now time.Time, interval time.Duration, bytes int64) time.Duration {
	if e.budget.covers(now, bytes) {
		return interval
	}
	return max(interval, maxDeferredInterval)
}

// broadcast sends a message to the members. It returns the number of bytes that took.
func (e *Exchange) broadcast(now time.Time, conn *ipv4.PacketConn, m *Message, to *sendBatch) int64 {
	if len(to.members) == 0 {
		return 0
	}
	e.sequence++
	data, err := encode(now, m, e.options.Incarnation, e.sequence)
	if err != nil {
		e.options.Logger.Error().Err(err).Msg("Encoding the host state failed; it is not sent.")
		return 0
	}
	begun := time.Now()
	to.send(conn, data, e.logSendFailure)
	if took := int64(time.Since(begun)); took > e.traffic.sendTime.Load() {
		e.traffic.sendTime.Store(took)
	}
	e.traffic.sent.Add(int64(len(to.members)))
	bytes := int64(len(to.members)) * int64(len(data)+datagramOverhead)
	e.budget.spend(now, bytes)
	return bytes
}

func (e *Exchange) logSendFailure(to Member, err error) {
	e.options.Logger.Debug().Err(err).Str("host", string(to.Host)).Msg("Sending the host state failed; the next message replaces it.")
}
