package hoststate

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	// tenthsPerUnit is the resolution of exponentially decayed counts in messages.
	tenthsPerUnit = 10
	// thousandthsPerUnit is the resolution of rates and slots in messages.
	thousandthsPerUnit    = 1000
	microsecondsPerSecond = 1e6
)

func encode(now time.Time, m *Message, incarnation, sequence uint64) ([]byte, error) {
	state := &hostpb.HostState{
		Host:         string(m.Host),
		Incarnation:  incarnation,
		Sequence:     sequence,
		TableVersion: m.TableVersion,
		Tables:       encodeTables(m.Tables),
		SumOf:        string(m.AggregateOf),
		SumHosts:     clampUint32(m.AggregatedHosts),
	}
	for team, use := range m.TeamUsage {
		state.Uses = append(state.Uses, &hostpb.TeamUse{
			Team:    hashName(team),
			Used:    clampUint64(use.Total),
			Window:  clampUint64(use.Window),
			Half:    clampUint64(use.RecentHalf),
			Settled: use.WarmedUp,
		})
	}
	state.TeamLoads = encodeTeamLoads(m.Schedule.TeamLoads)
	state.Crashes = quarantine.Encode(now, m.Schedule.Crashes)
	state.Limits = encodeLimits(now, m.Schedule.Limits)
	state.Leaving = m.Schedule.Leaving
	encodeSchedule(state, &m.Schedule)
	state.BrittleTargets = encodeBrittle(now, m.Schedule.BrittleTargets)
	state.Responses = encodeResponses(now, m.Schedule.Responses)
	state.MachineStates = encodeMachineStates(now, m.Schedule.MachineStates)
	encodeStreams(state, &m.Streams)
	state.Rollouts = encodeRollouts(m.Rollouts)
	data, err := proto.Marshal(state)
	return data, Error.Wrap(err)
}

func encodeSchedule(state *hostpb.HostState, s *schedule.State) {
	state.Observed = s.Observed
	for _, p := range s.LeavingTargets {
		state.LeavingTargets = append(state.LeavingTargets, &hostpb.TargetProcess{Target: hashName(p.Target), StartUnixMs: p.StartUnixMs})
	}
	for _, pool := range s.CutOff {
		state.CutOff = append(state.CutOff, hashName(pool))
	}
	for _, l := range s.Loads {
		state.Loads = append(state.Loads, &hostpb.TargetLoad{
			Target:        hashName(l.Target),
			Running:       clampUint32(l.Running),
			PrefillTokens: clampUint32(l.PrefillTokens),
			KvTokens:      clampUint32(l.KVTokens),
		})
	}
	for _, o := range s.Observations {
		state.Observations = append(state.Observations, &hostpb.Observation{
			Target:      hashName(o.Target),
			GoodTenths:  clampUint32(int(o.Successes * tenthsPerUnit)),
			BadTenths:   clampUint32(int(o.Failures * tenthsPerUnit)),
			PrefillRate: clampUint32(int(o.Speeds.PrefillRate)),
			PaceUs:      clampUint32(int(o.Speeds.EventInterval * microsecondsPerSecond)),
			Resting:     o.Ejected,
		})
	}
	for _, d := range s.Demands {
		state.Demands = append(state.Demands, &hostpb.Demand{
			Pool:       hashName(d.Pool),
			TeamRank:   clampInt32(int64(d.Rank.Team)),
			RouteRank:  clampInt32(int64(d.Rank.Route)),
			RateMilli:  clampUint32(int(d.ArrivalRate * thousandthsPerUnit)),
			SlotsMilli: clampUint32(int(d.MeanSlots * thousandthsPerUnit)),
		})
	}
	for _, b := range s.Backlogs {
		state.Backlogs = append(state.Backlogs, &hostpb.Backlog{
			Pool:      hashName(b.Pool),
			TeamRank:  clampInt32(int64(b.Rank.Team)),
			RouteRank: clampInt32(int64(b.Rank.Route)),
			Count:     clampUint32(b.Count),
			SlackMs:   clampInt32(b.Laxity.Milliseconds()),
			SpreadMs:  clampUint32(int(b.Spread.Milliseconds())),
		})
	}
	for _, p := range s.PrefixLocations {
		state.Placements = append(state.Placements, &hostpb.Placement{Hash: p.Hash, Target: hashName(p.Target), Tokens: clampUint32(p.Tokens)})
	}
}

// maxCumulative bounds cumulative usage in messages.
const maxCumulative = 1 << 62

func clampUint64(x float64) uint64 { return uint64(min(max(x, 0), maxCumulative)) }

func clampUint32(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func clampInt32(n int64) int32 { return int32(min(max(n, math.MinInt32), math.MaxInt32)) }

// decode converts a message. Items whose name hash is not in the index are omitted.
func (n *NameIndex) decode(now time.Time, state *hostpb.HostState) Message {
	m := Message{
		Host:            ident.Host(state.GetHost()),
		Incarnation:     state.GetIncarnation(),
		TableVersion:    state.GetTableVersion(),
		Tables:          decodeTables(state.GetTables()),
		AggregateOf:     ident.DataCentre(state.GetSumOf()),
		AggregatedHosts: int(state.GetSumHosts()),
		TeamUsage:       make(map[ident.Team]quota.Usage, len(state.GetUses())),
	}
	for _, u := range state.GetUses() {
		if team, ok := n.teams[u.GetTeam()]; ok {
			m.TeamUsage[team] = quota.Usage{
				Total: float64(u.GetUsed()), WarmedUp: u.GetSettled(), Window: float64(u.GetWindow()), RecentHalf: float64(u.GetHalf()),
			}
		}
	}
	m.Streams = n.decodeStreams(state)
	m.Rollouts = n.decodeRollouts(state)
	m.Schedule = schedule.State{
		Loads:           decodeItems(state.GetLoads(), n.targets, (*hostpb.TargetLoad).GetTarget, decodeLoad),
		Observed:        state.GetObserved(),
		Observations:    decodeItems(state.GetObservations(), n.targets, (*hostpb.Observation).GetTarget, decodeObservation),
		Demands:         decodeItems(state.GetDemands(), n.pools, (*hostpb.Demand).GetPool, decodeDemand),
		Backlogs:        decodeItems(state.GetBacklogs(), n.pools, (*hostpb.Backlog).GetPool, decodeBacklog),
		TeamLoads:       n.decodeTeamLoads(state.GetTeamLoads()),
		PrefixLocations: decodeItems(state.GetPlacements(), n.targets, (*hostpb.Placement).GetTarget, decodePlacement),
		Crashes:         quarantine.Decode(now, state.GetCrashes()),
		CutOff:          n.decodePools(state.GetCutOff()),
		Limits:          decodeItems(state.GetLimits(), n.targets, (*hostpb.TargetLimit).GetTarget, limitDecoder(now)),
		Leaving:         state.GetLeaving(),
		BrittleTargets:  decodeItems(state.GetBrittleTargets(), n.targets, (*hostpb.BrittleTarget).GetTarget, brittleDecoder(now)),
		Responses:       decodeItems(state.GetResponses(), n.pools, (*hostpb.PoolResponse).GetPool, responseDecoder(now)),
		MachineStates:   decodeItems(state.GetMachineStates(), n.targets, (*hostpb.MachineState).GetTarget, machineDecoder(now)),
		LeavingTargets:  decodeItems(state.GetLeavingTargets(), n.targets, (*hostpb.TargetProcess).GetTarget, decodeProcess),
	}
	return m
}

// decodeItems converts the items whose name hash is in names. It returns nil, not an
// empty slice, if there is none.
func decodeItems[M, N, T any](
	items []M, names map[uint32]N, hash func(M) uint32, decode func(name N, item M) T,
) []T {
	var decoded []T
	for _, item := range items {
		if name, ok := names[hash(item)]; ok {
			decoded = append(decoded, decode(name, item))
		}
	}
	return decoded
}

// decodePools returns the pools whose name hashes are in the index.
func (n *NameIndex) decodePools(hashes []uint32) []ident.Pool {
	var pools []ident.Pool
	for _, hash := range hashes {
		if pool, ok := n.pools[hash]; ok {
			pools = append(pools, pool)
		}
	}
	return pools
}

func decodeProcess(target ident.Target, p *hostpb.TargetProcess) schedule.TargetProcess {
	return schedule.TargetProcess{Target: target, StartUnixMs: p.GetStartUnixMs()}
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
		Successes: float64(o.GetGoodTenths()) / tenthsPerUnit,
		Failures:  float64(o.GetBadTenths()) / tenthsPerUnit,
		Ejected:   o.GetResting(),
		Speeds: schedule.Speeds{
			PrefillRate:   float64(o.GetPrefillRate()),
			EventInterval: float64(o.GetPaceUs()) / microsecondsPerSecond,
		},
	}
}

func decodeDemand(pool ident.Pool, d *hostpb.Demand) schedule.Demand {
	return schedule.Demand{
		Pool:        pool,
		Rank:        schedule.Rank{Team: int(d.GetTeamRank()), Route: int(d.GetRouteRank())},
		ArrivalRate: float64(d.GetRateMilli()) / thousandthsPerUnit,
		MeanSlots:   float64(d.GetSlotsMilli()) / thousandthsPerUnit,
	}
}

func decodeBacklog(pool ident.Pool, b *hostpb.Backlog) schedule.Backlog {
	return schedule.Backlog{
		Pool:   pool,
		Rank:   schedule.Rank{Team: int(b.GetTeamRank()), Route: int(b.GetRouteRank())},
		Count:  int(b.GetCount()),
		Laxity: time.Duration(b.GetSlackMs()) * time.Millisecond,
		Spread: time.Duration(b.GetSpreadMs()) * time.Millisecond,
	}
}

func decodePlacement(target ident.Target, p *hostpb.Placement) schedule.PrefixLocation {
	return schedule.PrefixLocation{Hash: p.GetHash(), Target: target, Tokens: int(p.GetTokens())}
}
