package hoststate

import (
	"slices"

	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/streamversion"
)

// maxCoalescedLocations bounds the prefix locations, maxCoalescedRecords the stream records, and
// maxCoalescedRuns the runs of crashes, in a coalesced message; the newest are kept.
const (
	maxCoalescedLocations = 48
	maxCoalescedRecords   = 512
	maxCoalescedRuns      = 320
)

// Coalescer merges consecutive messages into one for receivers that do not get all of them.
// The newest message replaces those before, except for what each of them holds only once.
type Coalescer struct {
	pending bool
	message Message
	// lastRecords holds the stream records of the message taken last. Each record is sent
	// twice, because a message may be lost.
	lastRecords []streamversion.Record
}

// Add merges a message.
func (c *Coalescer) Add(m *Message) {
	before, wasPending := c.message, c.pending
	c.message, c.pending = *m, true
	if !wasPending {
		return
	}
	after := &c.message
	if !after.Schedule.Observed {
		after.Schedule.Observed, after.Schedule.Observations = before.Schedule.Observed, before.Schedule.Observations
	}
	if after.Tables == nil {
		after.Tables = before.Tables
	}
	if after.Schedule.Demands == nil {
		after.Schedule.Demands = before.Schedule.Demands
	}
	after.Schedule.Crashes = mergeCrashes(before.Schedule.Crashes, after.Schedule.Crashes)
	if after.Streams.SoleVersions == nil {
		after.Streams.SoleVersions = before.Streams.SoleVersions
	}
	after.Schedule.PrefixLocations = mergeLocations(before.Schedule.PrefixLocations, after.Schedule.PrefixLocations)
	after.Streams.Records = mergeRecords(before.Streams.Records, after.Streams.Records)
}

// Take returns the merged message, with the stream records of the one before. The caller
// must send it.
func (c *Coalescer) Take() Message {
	m := c.message
	records := m.Streams.Records
	m.Streams.Records = mergeRecords(c.lastRecords, records)
	c.lastRecords = records
	c.message, c.pending = Message{}, false
	return m
}

// TakeShort is like Take, without what is large and can wait for the next message: crashes, which the
// store has too, observations and locations of prefixes.
func (c *Coalescer) TakeShort() Message {
	pending := c.message.Schedule
	m := c.Take()
	m.Schedule.Crashes, m.Schedule.PrefixLocations = nil, nil
	m.Schedule.Observed, m.Schedule.Observations = false, nil
	c.pending = true
	c.message.Schedule = schedule.State{
		Crashes: pending.Crashes, PrefixLocations: pending.PrefixLocations,
		Observed: pending.Observed, Observations: pending.Observations,
	}
	return m
}

// mergeCrashes returns the reports of both messages, each of which may hold only what changed.
// Of more than maxCoalescedRuns runs, the newest reports are kept.
func mergeCrashes(before, after []quarantine.Crash) []quarantine.Crash {
	merged := append(slices.Clone(before), after...)
	runs := 0
	for i := len(merged) - 1; i >= 0; i-- {
		runs += len(merged[i].Runs)
		if runs > maxCoalescedRuns {
			return merged[i+1:]
		}
	}
	return merged
}

func mergeLocations(before, after []schedule.PrefixLocation) []schedule.PrefixLocation {
	merged := slices.Clone(before)
	for _, l := range after {
		if !slices.Contains(merged, l) {
			merged = append(merged, l)
		}
	}
	return merged[max(0, len(merged)-maxCoalescedLocations):]
}

func mergeRecords(before, after []streamversion.Record) []streamversion.Record {
	known := make(map[streamversion.Record]bool, len(before))
	merged := slices.Clone(before)
	for _, r := range before {
		known[r] = true
	}
	for _, r := range after {
		if !known[r] {
			merged = append(merged, r)
		}
	}
	return merged[max(0, len(merged)-maxCoalescedRecords):]
}
