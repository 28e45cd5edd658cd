package hoststate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// tenths is the resolution of decayed counts in messages.
	tenths = 10
	// thousandths is the resolution of rates in messages.
	thousandths = 1000
	// microseconds of a second.
	microseconds = 1e6
)

func encode(m *Message, incarnation, sequence uint64) ([]byte, error) {
	state := &hostpb.HostState{
		Host:         string(m.Host),
		Incarnation:  incarnation,
		Sequence:     sequence,
		TableVersion: m.TableVersion,
		SumOf:        string(m.SumOf),
		SumHosts:     count(m.SumHosts),
	}
	for team, use := range m.Uses {
		state.Uses = append(state.Uses, &hostpb.TeamUse{
			Team:    hashName(team),
			Used:    amount(use.Total),
			Window:  amount(use.Window),
			Half:    amount(use.Half),
			Settled: use.Settled,
		})
	}
	encodeSchedule(state, &m.Schedule)
	data, err := proto.Marshal(state)
	return data, Error.Wrap(err)
}

func encodeSchedule(state *hostpb.HostState, s *schedule.State) {
	state.Observed = s.Observed
	for _, l := range s.Loads {
		state.Loads = append(state.Loads, &hostpb.TargetLoad{
			Target:        hashName(l.Target),
			Running:       count(l.Running),
			PrefillTokens: count(l.PrefillTokens),
			KvTokens:      count(l.KVTokens),
		})
	}
	for _, o := range s.Observations {
		state.Observations = append(state.Observations, &hostpb.Observation{
			Target:      hashName(o.Target),
			GoodTenths:  count(int(o.Successes * tenths)),
			BadTenths:   count(int(o.Failures * tenths)),
			PrefillRate: count(int(o.Speeds.PrefillRate)),
			PaceUs:      count(int(o.Speeds.EventInterval * microseconds)),
			Resting:     o.Ejected,
		})
	}
	for _, d := range s.Demands {
		state.Demands = append(state.Demands, &hostpb.Demand{
			Pool:       hashName(d.Pool),
			TeamRank:   int32(d.Rank.Team),
			RouteRank:  int32(d.Rank.Route),
			RateMilli:  count(int(d.ArrivalRate * thousandths)),
			SlotsMilli: count(int(d.MeanSlots * thousandths)),
		})
	}
	for _, b := range s.Backlogs {
		state.Backlogs = append(state.Backlogs, &hostpb.Backlog{
			Pool:      hashName(b.Pool),
			TeamRank:  int32(b.Rank.Team),
			RouteRank: int32(b.Rank.Route),
			Count:     count(b.Count),
			SlackMs:   int32(b.Slack.Milliseconds()),
			SpreadMs:  count(int(b.Spread.Milliseconds())),
		})
	}
	for _, p := range s.PrefixLocations {
		state.Placements = append(state.Placements, &hostpb.Placement{Hash: p.Hash, Target: hashName(p.Target)})
	}
}

func amount(x float64) uint64 { return uint64(max(x, 0)) }

func count(n int) uint32 { return uint32(max(n, 0)) }

// decode translates a message. What names something that is not known here is
// left out.
func (d *Directory) decode(state *hostpb.HostState) Message {
	m := Message{
		Host:         ident.Host(state.GetHost()),
		Incarnation:  state.GetIncarnation(),
		TableVersion: state.GetTableVersion(),
		SumOf:        ident.DataCentre(state.GetSumOf()),
		SumHosts:     int(state.GetSumHosts()),
		Uses:         make(map[ident.Team]quota.Use, len(state.GetUses())),
	}
	for _, u := range state.GetUses() {
		if team, ok := d.teams[u.GetTeam()]; ok {
			m.Uses[team] = quota.Use{
				Total: float64(u.GetUsed()), Settled: u.GetSettled(), Window: float64(u.GetWindow()), Half: float64(u.GetHalf()),
			}
		}
	}
	m.Schedule = schedule.State{
		Loads:           decodeKnown(state.GetLoads(), d.targets, (*hostpb.TargetLoad).GetTarget, decodeLoad),
		Observed:        state.GetObserved(),
		Observations:    decodeKnown(state.GetObservations(), d.targets, (*hostpb.Observation).GetTarget, decodeObservation),
		Demands:         decodeKnown(state.GetDemands(), d.pools, (*hostpb.Demand).GetPool, decodeDemand),
		Backlogs:        decodeKnown(state.GetBacklogs(), d.pools, (*hostpb.Backlog).GetPool, decodeBacklog),
		PrefixLocations: decodeKnown(state.GetPlacements(), d.targets, (*hostpb.Placement).GetTarget, decodePlacement),
	}
	return m
}

// decodeKnown translates a list, each item of which names something by its hash. It
// returns nothing, not an empty list, if no name is known.
func decodeKnown[M, N, T any](
	told []M, names map[uint32]N, hash func(M) uint32, decode func(name N, m M) T,
) []T {
	var list []T
	for _, m := range told {
		if name, ok := names[hash(m)]; ok {
			list = append(list, decode(name, m))
		}
	}
	return list
}

func decodeLoad(target ident.Target, l *hostpb.TargetLoad) schedule.TargetLoad {
	return schedule.TargetLoad{
		Target:        target,
		Running:       int(l.GetRunning()),
		PrefillTokens: int(l.GetPrefillTokens()),
		KVTokens:      int(l.GetKvTokens()),
	}
}

func decodeObservation(target ident.Target, o *hostpb.Observation) schedule.Observation {
	return schedule.Observation{
		Target:    target,
		Successes: float64(o.GetGoodTenths()) / tenths,
		Failures:  float64(o.GetBadTenths()) / tenths,
		Ejected:   o.GetResting(),
		Speeds: schedule.Speeds{
			PrefillRate:   float64(o.GetPrefillRate()),
			EventInterval: float64(o.GetPaceUs()) / microseconds,
		},
	}
}

func decodeDemand(pool ident.Pool, d *hostpb.Demand) schedule.Demand {
	return schedule.Demand{
		Pool:        pool,
		Rank:        schedule.Rank{Team: int(d.GetTeamRank()), Route: int(d.GetRouteRank())},
		ArrivalRate: float64(d.GetRateMilli()) / thousandths,
		MeanSlots:   float64(d.GetSlotsMilli()) / thousandths,
	}
}

func decodeBacklog(pool ident.Pool, b *hostpb.Backlog) schedule.Backlog {
	return schedule.Backlog{
		Pool:   pool,
		Rank:   schedule.Rank{Team: int(b.GetTeamRank()), Route: int(b.GetRouteRank())},
		Count:  int(b.GetCount()),
		Slack:  time.Duration(b.GetSlackMs()) * time.Millisecond,
		Spread: time.Duration(b.GetSpreadMs()) * time.Millisecond,
	}
}

func decodePlacement(target ident.Target, p *hostpb.Placement) schedule.PrefixLocation {
	return schedule.PrefixLocation{Hash: p.GetHash(), Target: target}
}
