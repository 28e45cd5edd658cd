package freshness

import (
	"math/rand/v2"
	"time"
)

// tableState is what a host knows of one table.
type tableState struct {
	intervals intervals
	loaded    bool
	// position is where the table was last read, and digest that of its rows.
	position Position
	digest   uint32
	// asOf is when the rows are known to have been the newest; own says that a call of this host has
	// shown it.
	asOf time.Time
	own  bool
	// leads says that this host asks often. frequent says that the rows were last confirmed by a host
	// that does.
	leads    bool
	frequent bool
	// followsAt is when another host that asks often, or a frequent call for another table, last
	// confirmed the rows, and yieldsAt the same of those to which this host leaves it to ask often.
	followsAt time.Time
	yieldsAt  time.Time
	// delay is the random part of the age at which the table has to be confirmed, chosen anew with each
	// confirmation.
	delay time.Duration
	// othersAsOf is when another host had other rows, later than this one is known to have had the
	// newest, or zero.
	othersAsOf time.Time
	// suspectedAt is when this host was last suspected to have missed changes.
	suspectedAt time.Time
}

// confirm records that the rows were the newest at a moment.
func (s *tableState) confirm(asOf time.Time, own, frequent bool) {
	s.asOf, s.own, s.frequent = asOf, own, frequent
	s.delay = rand.N(s.intervals.spread)
	s.catchUp()
}

// follow records that something else than the calls of this host for the table confirms it often. With
// yield set, this host leaves that to it.
func (s *tableState) follow(now time.Time, yield bool) {
	s.followsAt = now
	if yield {
		s.yieldsAt = now
	}
}

// catchUp forgets the rows of other hosts that are not newer than those of this one.
func (s *tableState) catchUp() {
	if !s.othersAsOf.After(s.asOf) {
		s.othersAsOf = time.Time{}
	}
}
