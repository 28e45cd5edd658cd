package schedule

import (
	"math"
	"time"
)

const (
	// MaxMachinePercent is the largest valid statement about a machine. A larger one says
	// nothing of how long work takes.
	MaxMachinePercent = 100_000
	// usualPercent is the statement of a machine on which work takes as long as usual.
	usualPercent = 100
	// machineStateTTL is how long a statement about a machine is of use. The state of a machine
	// lasts about as long.
	machineStateTTL = 600 * time.Millisecond
	// minMachineFactor and maxMachineFactor bound the effect of a statement, so that a wrong
	// one neither attracts all requests nor outweighs everything else.
	minMachineFactor = 0.25
	maxMachineFactor = 16.0
	// machineChangeRatio is the least relative change of the expected time of work that other
	// hosts are to know at once.
	machineChangeRatio = 0.25
	// unusualRatio is the least deviation from the usual time that is reported at all. A host
	// that knows nothing of a machine assumes the usual time.
	unusualRatio = 0.1
)

// MachineState is what a process of a target has said of how long work takes on its machine.
type MachineState struct {
	TargetProcess
	// Percent is the time that work takes; 100 is usual.
	Percent int
	// At is when a host received the statement, on this host's clock.
	At time.Time
}

// valid reports whether the statement says anything.
func (m *MachineState) valid() bool { return m.Percent > 0 && m.Percent <= MaxMachinePercent }

// machineState is the newest statement about the machine of one process of a target. The zero
// value says that there was none.
type machineState struct {
	factor float64
	at     time.Time
}

// newMachineState returns the state that a valid statement describes.
func newMachineState(percent int, at time.Time) machineState {
	factor := float64(percent) / usualPercent
	return machineState{factor: min(max(factor, minMachineFactor), maxMachineFactor), at: at}
}

// stated reports whether there was a statement, however old.
func (m machineState) stated() bool { return !m.at.IsZero() }

// certainty returns the probability that the statement still holds: it falls from one to zero
// within machineStateTTL.
func (m machineState) certainty(now time.Time) float64 {
	if !m.stated() {
		return 0
	}
	age := now.Sub(m.at).Seconds()
	return min(max(1-age/machineStateTTL.Seconds(), 0), 1)
}

// expected returns the expected time of work that starts now, relative to the usual time.
func (m machineState) expected(now time.Time) float64 {
	return 1 + m.certainty(now)*(m.factor-1)
}

// delay returns how much longer than usual work is expected to take that starts now, in seconds.
// A negative delay means that it takes less time. It is exactly zero without a statement.
//
// The end of the state is assumed to be evenly distributed over machineStateTTL from the statement
// on. Work that outlasts the state is delayed in proportion to what remains of the state.
func (m machineState) delay(now time.Time, work float64) float64 {
	total := machineStateTTL.Seconds()
	remaining := m.certainty(now) * total
	if remaining == 0 {
		return 0
	}
	perSecond, finished := 1-1/m.factor, work*m.factor
	if remaining <= finished {
		return perSecond * remaining * remaining / (2 * total)
	}
	return (perSecond*finished*finished/2 + work*(m.factor-1)*(remaining-finished)) / total
}

// unusual reports whether work takes noticeably longer or shorter than usual.
func (m machineState) unusual() bool { return m.stated() && math.Abs(m.factor-1) >= unusualRatio }
