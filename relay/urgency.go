package relay

import (
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/route"
)

// maxPriority is the largest priority that is distinguished; larger ones count as equal. 16 bits each
// leave room for two priorities in an Urgency.
const maxPriority = 1<<16 - 1

// UrgencyOf returns the urgency of a call, by the priority of its team, then by that of its route, as
// requests are ranked for targets. A call that will be rejected is the least urgent.
// A nil table rejects all calls.
func UrgencyOf(table *route.Table, call *Call) bytebudget.Urgency {
	if table == nil {
		return bytebudget.LeastUrgent
	}
	r := table.Match(call.HostName, call.Path)
	if r == nil {
		return bytebudget.LeastUrgent
	}
	team, known := table.Authenticate(r, call.Key)
	if !known {
		return bytebudget.LeastUrgent
	}
	urgency := boundedPriority(r.Priority)
	if team != nil {
		urgency += boundedPriority(team.Priority) * (maxPriority + 1)
	}
	return urgency
}

func boundedPriority(priority int) bytebudget.Urgency {
	return bytebudget.Urgency(min(max(priority, 0), maxPriority))
}
