package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// PoolLoad is the current load of one pool as this host sees it.
type PoolLoad struct {
	Pool ident.Pool
	// Targets is the number of announced targets, and Usable the number of those that
	// may get requests.
	Targets int
	Usable  int
	// Limited is the number of targets that state limits, and LimitRate the requests per
	// second that this host may send them.
	Limited   int
	LimitRate float64
	// Slots and Free count the slots of the usable targets; the requests of all hosts
	// are taken into account.
	Slots int
	Free  int
	// MachinesKnown is the number of targets of whose machines this host knows the present
	// state, and MachinesSlow the number of those on which work is expected to take at least
	// half as long again as usual.
	MachinesKnown int
	MachinesSlow  int
	// Scarce says that the capacity is shared among teams, and GrantedShare is the part of the
	// demand that is granted.
	Scarce       bool
	GrantedShare float64
	// Prefixes counts tokens of prompts. It is zero if the memory of the targets is not known.
	Prefixes PrefixCounts
	// MemoryWaits counts the requests of this host that waited for memory since its start.
	MemoryWaits int
	// Queued and Running count the requests of this host.
	Queued  int
	Running int
}

// slowMachineFactor is the least expected time of work on a machine that counts as slow, relative
// to the usual time.
const slowMachineFactor = 1.5

// PoolLoads returns the load of each pool.
func (s *Scheduler) PoolLoads(now time.Time) []PoolLoad {
	loads := make([]PoolLoad, 0, len(s.pools))
	for _, p := range s.pools {
		targets := p.usableTargets(now)
		load := PoolLoad{
			Pool:         p.name,
			Prefixes:     p.memory.counts,
			MemoryWaits:  p.memory.waits,
			Targets:      len(p.targets),
			Usable:       len(targets),
			Slots:        totalSlots(targets),
			Free:         freeSlots(now, targets),
			Scarce:       p.shares.scarce(now),
			GrantedShare: s.grantedShare(now, p),
			Queued:       len(p.queue.items),
		}
		for _, t := range p.targets {
			load.Running += t.running
			if t.machine.certainty(now) > 0 {
				load.MachinesKnown++
			}
			if t.machine.expected(now) >= slowMachineFactor {
				load.MachinesSlow++
			}
			if t.available() && t.limited() {
				load.Limited++
				load.LimitRate += t.pacer.Rate()
			}
		}
		loads = append(loads, load)
	}
	return loads
}
