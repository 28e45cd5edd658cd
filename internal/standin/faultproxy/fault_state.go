package faultproxy

import (
	"sync/atomic"
	"time"
)

// faultState holds the current faults for the connections of one source over a link.
type faultState struct {
	toTarget direction
	toClient direction
	refuse   atomic.Bool
}

func (p *faultState) apply(f Faults) {
	delay := int64(f.DelayMs) * int64(time.Millisecond)
	p.toTarget.delay.Store(delay)
	p.toClient.delay.Store(delay)
	p.toTarget.gate.SetClosed(f.Cut || f.CutToTarget)
	p.toClient.gate.SetClosed(f.Cut || f.CutToClient)
	p.refuse.Store(f.Refuse)
}
