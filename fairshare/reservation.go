package fairshare

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reservationCycle is the time in which each request is due once, for dueTime. It is less than
	// a third of the time that callers wait, 3 s and more, within which they honour Retry-After.
	reservationCycle = 800 * time.Millisecond
	dueTime          = 200 * time.Millisecond
	// returnMargin is the part of dueTime that is left to hosts whose clocks are ahead.
	returnMargin = 0.25
	// promisedRatio is the part of what is granted that is promised to callers that return.
	promisedRatio = 0.8
	dueRatio      = float64(dueTime) / float64(reservationCycle)
)

// Reservation says when a request that is refused is due, from its content and a clock that all
// hosts share. Callers return to other hosts, which come to the same result without a message.
type Reservation struct {
	hash    uint64
	phase   time.Duration
	elapsed int64
	// promised is the fraction of the requests for which capacity can be reserved.
	promised float64
}

// NewReservation returns the reservation of a request with a digest at a pool, at a time of the
// shared clock in milliseconds, while a fraction of the requests is granted steadily.
func NewReservation(pool string, digest uint64, nowMs int64, granted float64) Reservation {
	key := binary.LittleEndian.AppendUint64([]byte(pool+"\x00reservation\x00"), digest)
	hash := xxhash.Sum64(key)
	shifted := time.Duration(nowMs)*time.Millisecond + time.Duration(fraction(mix(hash, 1))*float64(reservationCycle))
	return Reservation{hash: hash, phase: shifted % reservationCycle, elapsed: int64(shifted / reservationCycle), promised: min(promisedRatio*granted/max(1-granted, 1e-9), 1)}
}

// Due reports whether the request is due now. It then comes before requests that are not.
func (r Reservation) Due() bool { return r.phase < dueTime && r.chosen() < r.promised }

// Granted reports whether a request that is not due is granted, if the given fraction of all
// requests is. The result is the same for all attempts within a cycle, so that callers that
// return at once gain nothing.
func (r Reservation) Granted(granted float64) bool {
	due := min(r.promised*(1-granted+dueRatio), granted)
	return fraction(mix(r.hash, uint64(r.elapsed)+3)) < (granted-due)/max(1-due, 1e-9)
}

// Promise returns the time until the request is due next, and false if no capacity is reserved for
// it: because the part that can be promised is used up, or because it is due later than limit.
func (r Reservation) Promise(limit time.Duration) (time.Duration, bool) {
	wait := reservationCycle - r.phase + time.Duration(returnMargin*float64(dueTime))
	// The fraction may fall until the caller returns.
	return wait, wait <= limit && r.chosen() < r.promised*promiseMargin
}

// promiseMargin is the part of the requests that may be due that capacity is promised to. It leaves
// room for fractions that differ between hosts and fall until callers return.
const promiseMargin = 0.5

func (r Reservation) chosen() float64 { return fraction(mix(r.hash, 2)) }

// mix derives another hash (the finalizer of SplitMix64).
func mix(hash, n uint64) uint64 {
	hash += n * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// fraction maps a hash to [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
