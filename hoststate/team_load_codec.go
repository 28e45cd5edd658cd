package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/schedule"
)

func encodeTeamLoads(loads []schedule.TeamLoad) []*hostpb.TeamLoad {
	var encoded []*hostpb.TeamLoad
	for _, l := range loads {
		encoded = append(encoded, &hostpb.TeamLoad{
			Pool:      hashName(l.Pool),
			Team:      hashName(l.Team),
			TeamRank:  clampInt32(int64(l.Rank.Team)),
			RouteRank: clampInt32(int64(l.Rank.Route)),
			UsedMs:    clampUint32(int(l.Used.Milliseconds())),
			QueuedMs:  clampUint32(int(l.Queued.Milliseconds())),
		})
	}
	return encoded
}

// decodeTeamLoads converts the loads of known pools and teams. Requests without a team form one
// whose name is empty.
func (n *NameIndex) decodeTeamLoads(loads []*hostpb.TeamLoad) []schedule.TeamLoad {
	var decoded []schedule.TeamLoad
	for _, l := range loads {
		pool, poolKnown := n.pools[l.GetPool()]
		team, teamKnown := n.teams[l.GetTeam()]
		if !poolKnown || !teamKnown && l.GetTeam() != hashName(ident.Team("")) {
			continue
		}
		decoded = append(decoded, schedule.TeamLoad{
			Pool:   pool,
			Team:   team,
			Rank:   schedule.Rank{Team: int(l.GetTeamRank()), Route: int(l.GetRouteRank())},
			Used:   time.Duration(l.GetUsedMs()) * time.Millisecond,
			Queued: time.Duration(l.GetQueuedMs()) * time.Millisecond,
		})
	}
	return decoded
}
