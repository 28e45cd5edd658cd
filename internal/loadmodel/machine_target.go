package loadmodel

import (
	"slices"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// machineTarget is a target whose machine is slower than usual if factor is above 1.
type machineTarget struct {
	name   ident.Target
	speed  float64
	factor float64
	runs   []*machineRun
}

// machineRun is a request that runs on a target.
type machineRun struct {
	host     int
	id       ident.Request
	to       route.Target
	left     float64
	reported bool
}

// machineMessage is a state of a host that reaches the others at a time.
type machineMessage struct {
	at, from int
	state    schedule.State
}

// work advances the targets by a millisecond. A stream begins after a quarter of its run.
func (f *MachineFleet) work(ms int) {
	for _, t := range f.targets {
		t.runs = slices.DeleteFunc(t.runs, func(r *machineRun) bool {
			before := r.left
			r.left -= t.speed / t.factor
			s := f.hosts[r.host]
			if f.stream && !r.reported && r.left <= MachineRunMs*3/4 {
				f.respond(ms, t, r)
				s.RecordFirstEvent(machineClock(ms), r.id)
			}
			if f.stream && r.reported && int(before/10) != int(r.left/10) {
				s.RecordProgress(machineClock(ms), r.id, 1)
			}
			if r.left > 0 {
				return false
			}
			if !r.reported {
				f.respond(ms, t, r)
			}
			s.Finish(machineClock(ms), r.id, schedule.Served)
			f.latencies = append(f.latencies, ms-f.start[r.id])
			return true
		})
	}
}

func (f *MachineFleet) respond(ms int, t *machineTarget, r *machineRun) {
	r.reported = true
	f.hosts[r.host].ReportLoad(machineClock(ms), r.id, len(t.runs))
	if f.stated {
		changed := f.hosts[r.host].RecordMachineState(machineClock(ms), r.to, int(t.factor*100))
		if changed && f.AtOnce {
			f.messages = append(f.messages, machineMessage{at: ms + f.Delay(), from: r.host, state: f.hosts[r.host].LocalState(machineClock(ms))})
		}
	}
}

// SlowShare returns the part of the requests that reached slow targets.
func (f *MachineFleet) SlowShare() float64 { return float64(f.SentSlow) / float64(f.Sent) }

// MeanLatency returns the mean time from the arrival of a request to its end.
func (f *MachineFleet) MeanLatency() float64 {
	sum := 0
	for _, l := range f.latencies {
		sum += l
	}
	return float64(sum) / float64(len(f.latencies))
}
