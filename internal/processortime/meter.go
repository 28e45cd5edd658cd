package processortime

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// interval is the time between two measurements of how late sleeps end.
const interval = 10 * time.Millisecond

// Meter measures while a test runs. It changes no result.
type Meter struct {
	started time.Time
	before  Usage
	stop    chan struct{}
	late    chan []time.Duration
}

// Start returns a meter that measures until it is stopped.
func Start() *Meter {
	m := &Meter{started: time.Now(), before: UsageOf(os.Getpid()), stop: make(chan struct{}), late: make(chan []time.Duration, 1)}
	go func() { m.late <- Lateness(m.stop) }()
	return m
}

// Stop ends the measurement and describes it.
func (m *Meter) Stop() string {
	close(m.stop)
	late := <-m.late
	wall, used := time.Since(m.started), UsageOf(os.Getpid()).since(m.before)
	text := fmt.Sprintf("processor time in %v: used %v (%.1f processors), threads waited %v for one",
		wall.Round(time.Millisecond), used.Running.Round(time.Millisecond), used.Running.Seconds()/wall.Seconds(), used.Waiting.Round(time.Millisecond))
	if len(late) == 0 {
		return text
	}
	slices.Sort(late)
	return text + fmt.Sprintf("; sleeps of %v ended late by %v (median), %v (95th percentile), %v (most)",
		interval, percentile(late, 50), percentile(late, 95), percentile(late, 100))
}

// percentile returns a percentile of sorted durations.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/100].Round(10 * time.Microsecond)
}

// Lateness returns how late sleeps ended until stop is closed.
func Lateness(stop <-chan struct{}) []time.Duration {
	var late []time.Duration
	for {
		due := time.Now().Add(interval)
		select {
		case <-stop:
			return late
		case <-time.After(interval):
			late = append(late, time.Since(due))
		}
	}
}
