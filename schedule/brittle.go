package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/targetlimit"
)

const (
	// brittleTTL is how long a target counts as brittle after a response has said so.
	brittleTTL = 3 * time.Second
	// brittlePause is how long this host sends nothing to a brittle target that has turned a
	// request away.
	brittlePause = time.Second
)

// BrittleTarget is a process of a target that has said that it falls over if it has to turn
// requests away.
type BrittleTarget struct {
	TargetProcess
	// At is when a host received the response, on this host's clock.
	At time.Time
}

// RecordBrittle records whether a response of a target says that it is brittle.
func (s *Scheduler) RecordBrittle(now time.Time, from route.Target, brittle bool) {
	t := s.processOf(from)
	switch {
	case t == nil:
	case !brittle:
		t.brittleHeardAt, t.brittleUntil = time.Time{}, time.Time{}
	default:
		t.brittleHeardAt = now
		s.setBrittle(now, t, now.Add(brittleTTL))
	}
}

// setBrittle makes a target count as brittle until a time.
func (s *Scheduler) setBrittle(now time.Time, t *target, until time.Time) {
	if !t.isBrittle(now) {
		s.shareSlots(t)
	}
	if until.After(t.brittleUntil) {
		t.brittleUntil = until
	}
}

// shareSlots calculates how many slots of a target this host may use while it is brittle.
func (s *Scheduler) shareSlots(t *target) {
	hosts := append(slices.Collect(maps.Keys(s.hostDataCentres)), s.host)
	t.slotShare = targetlimit.Slots(t.Name, t.Slots, s.host, hosts)
}

// shareAllSlots is shareSlots for all brittle targets, after the set of hosts has changed.
func (s *Scheduler) shareAllSlots(now time.Time) {
	for _, t := range s.targets {
		if t.isBrittle(now) {
			s.shareSlots(t)
		}
	}
}

// applyBrittle records what other hosts received from brittle targets.
func (s *Scheduler) applyBrittle(now time.Time, reported []BrittleTarget) {
	for _, b := range reported {
		t := s.targets[b.Target]
		if t != nil && t.StartUnixMs == b.StartUnixMs && now.Sub(b.At) < brittleTTL {
			s.setBrittle(now, t, b.At.Add(brittleTTL))
		}
	}
}

// brittleTargets returns what this host itself received from brittle targets a short time ago.
func (s *Scheduler) brittleTargets(now time.Time) []BrittleTarget {
	var list []BrittleTarget
	for _, t := range s.targets {
		if now.Sub(t.brittleHeardAt) < brittleTTL {
			process := TargetProcess{Target: t.Name, StartUnixMs: t.StartUnixMs}
			list = append(list, BrittleTarget{TargetProcess: process, At: t.brittleHeardAt})
		}
	}
	return list
}

// directBrittle adds what the direct peers received to what this host did.
func (s *Scheduler) directBrittle(now time.Time) []BrittleTarget {
	newest := make(map[ident.Target]BrittleTarget)
	for _, b := range s.brittleTargets(now) {
		newest[b.Target] = b
	}
	for _, peer := range s.peers {
		for _, b := range peer.state.BrittleTargets {
			if known, ok := newest[b.Target]; !ok || b.At.After(known.At) {
				newest[b.Target] = b
			}
		}
	}
	return slices.Collect(maps.Values(newest))
}

// isBrittle reports whether the target counts as brittle.
func (t *target) isBrittle(now time.Time) bool { return now.Before(t.brittleUntil) }

// usableSlots returns how many requests of this host the target may run at once.
func (t *target) usableSlots(now time.Time) int {
	if t.isBrittle(now) {
		return min(t.Slots, t.slotShare)
	}
	return t.Slots
}
