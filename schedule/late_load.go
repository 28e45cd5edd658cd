package schedule

import (
	"math"
	"time"
)

// lateMeanTime is the time constant of the mean load that other hosts put on a target. It is as long as
// the states of far hosts are old, so that the mean does not follow single requests.
const lateMeanTime = 200 * time.Millisecond

// lateLoad estimates how many requests of other hosts a target of a plain service has, where states are
// older than the time for which a request occupies a slot: none of the requests that they name is there
// any more, and others have taken their place. Then the mean of what is known is a better estimate than
// the newest state, and a full target has had free slots again before a state says so.
//
// Its zero value says that the newest state is used.
type lateLoad struct {
	// service is the time for which a request occupies a slot, in seconds, or zero.
	service float64
	// freshness is the part of the requests in the known states that is still there.
	freshness float64
	// queueable is how many requests may wait at the target. A host that waits for a state that shows
	// a free slot loses the age of the states, so it sends a request that has to wait for less there.
	queueable int
	// mean is the mean number of running requests of other hosts, and meanAt when it was updated.
	mean   float64
	meanAt time.Time
	// deviation is by how much the load that the target reported last differs from the estimate,
	// and reportedAt when that was.
	deviation  float64
	reportedAt time.Time
}

func (l *lateLoad) inUse() bool { return l.service > 0 }

// queuePart is the part of the time to the objective for which a request may wait at a target. The rest
// is for the distance, the service and the error of the estimate.
const queuePart = 0.25

// configure sets the service time, the mean age of the known states, and the time within which
// responses are on time, all in seconds. With a service time of zero, the newest state is used.
func (l *lateLoad) configure(service, age, objective float64, slots int) {
	if service == 0 {
		*l = lateLoad{mean: l.mean, meanAt: l.meanAt}
		return
	}
	l.service, l.freshness = service, math.Exp(-age/service)
	// A request does not wait for longer than it takes, whatever the age of the states.
	l.queueable = int(float64(slots) * min(age, service, queuePart*objective) / service)
}

// meanOf returns the mean number of running requests, given the number since the last update.
func (l *lateLoad) meanOf(now time.Time, running int) float64 {
	if l.meanAt.IsZero() {
		return float64(running)
	}
	elapsed := max(now.Sub(l.meanAt), 0)
	return float64(running) + (l.mean-float64(running))*math.Exp(-elapsed.Seconds()/lateMeanTime.Seconds())
}

// update takes in the number of running requests since the last update, before it changes.
func (l *lateLoad) update(now time.Time, running int) {
	l.mean, l.meanAt = l.meanOf(now, running), now
}

// estimate returns the estimated number of requests, without what the target reported.
func (l *lateLoad) estimate(now time.Time, running int) float64 {
	mean := l.meanOf(now, running)
	return mean + l.freshness*(float64(running)-mean)
}

// recordReport takes in the number of requests of other hosts that the target has according to itself.
func (l *lateLoad) recordReport(now time.Time, others, running int) {
	if l.inUse() {
		l.deviation, l.reportedAt = float64(others)-l.estimate(now, running), now
	}
}

// lateOthers estimates the number of requests of other hosts.
func (t *target) lateOthers(now time.Time) int {
	l := &t.late
	others := l.estimate(now, t.peers.Running)
	since := now.Sub(l.reportedAt).Seconds()
	if since < l.service {
		others += l.deviation * math.Exp(-since/l.service)
	} else if t.peersMissing && now.Sub(t.unattributedAt) < meanUnattributedTTL {
		others += t.meanUnattributed
	}
	return max(int(math.Round(others)), 0)
}

// queueCost returns the cost, in seconds, of a target at which the request has to wait for a slot: the
// service time, by which a target with a free slot comes first unless it is farther away than that.
func (t *target) queueCost(now time.Time) float64 {
	if !t.late.inUse() || t.busySlots(now) < t.Slots {
		return 0
	}
	return t.late.service
}
