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
	// microseconds of a second.
	microseconds = 1e6
)

func encode(m *Message, incarnation, sequence uint64) ([]byte, error) {
	state := &hostpb.HostState{
		Host:         string(m.Host),
		Incarnation:  incarnation,
		Sequence:     sequence,
		TableVersion: m.TableVersion,
		Partial:      m.Partial,
	}
	for team, use := range m.Uses {
		state.Uses = append(state.Uses, &hostpb.TeamUse{
			Team:   hashName(team),
			Used:   amount(use.Total),
			Window: amount(use.Window),
			Half:   amount(use.Half),
		})
	}
	if !m.Partial {
		encodeSchedule(state, &m.Schedule)
	}
	data, err := proto.Marshal(state)
	return data, Error.Wrap(err)
}

func encodeSchedule(state *hostpb.HostState, s *schedule.State) {
	for _, l := range s.Loads {
		state.Loads = append(state.Loads, &hostpb.TargetLoad{
			Target:        hashName(l.Target),
			Running:       count(l.Running),
			PrefillTokens: count(l.PrefillTokens),
			KvTokens:      count(l.KVTokens),
			GoodTenths:    count(int(l.Good * tenths)),
			BadTenths:     count(int(l.Bad * tenths)),
			PrefillRate:   count(int(l.Speeds.PrefillRate)),
			Resting:       l.Resting,
			PaceUs:        count(int(l.Speeds.Pace * microseconds)),
		})
	}
	for _, b := range s.Backlogs {
		state.Backlogs = append(state.Backlogs, &hostpb.Backlog{
			Pool:      hashName(b.Pool),
			TeamRank:  int32(b.Rank.Team),
			RouteRank: int32(b.Rank.Route),
			Count:     count(b.Count),
			SlackMs:   int32(b.Slack.Milliseconds()),
		})
	}
	for _, p := range s.Placements {
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
		Partial:      state.GetPartial(),
		Uses:         make(map[ident.Team]quota.Use, len(state.GetUses())),
	}
	for _, u := range state.GetUses() {
		if team, ok := d.teams[u.GetTeam()]; ok {
			m.Uses[team] = quota.Use{
				Total: float64(u.GetUsed()), Window: float64(u.GetWindow()), Half: float64(u.GetHalf()),
			}
		}
	}
	for _, l := range state.GetLoads() {
		if target, ok := d.targets[l.GetTarget()]; ok {
			m.Schedule.Loads = append(m.Schedule.Loads, decodeLoad(target, l))
		}
	}
	for _, b := range state.GetBacklogs() {
		if pool, ok := d.pools[b.GetPool()]; ok {
			m.Schedule.Backlogs = append(m.Schedule.Backlogs, schedule.Backlog{
				Pool:  pool,
				Rank:  schedule.Rank{Team: int(b.GetTeamRank()), Route: int(b.GetRouteRank())},
				Count: int(b.GetCount()),
				Slack: time.Duration(b.GetSlackMs()) * time.Millisecond,
			})
		}
	}
	for _, p := range state.GetPlacements() {
		if target, ok := d.targets[p.GetTarget()]; ok {
			m.Schedule.Placements = append(m.Schedule.Placements, schedule.Placement{Hash: p.GetHash(), Target: target})
		}
	}
	return m
}

func decodeLoad(target ident.Target, l *hostpb.TargetLoad) schedule.Load {
	return schedule.Load{
		Target:        target,
		Running:       int(l.GetRunning()),
		PrefillTokens: int(l.GetPrefillTokens()),
		KVTokens:      int(l.GetKvTokens()),
		Good:          float64(l.GetGoodTenths()) / tenths,
		Bad:           float64(l.GetBadTenths()) / tenths,
		Resting:       l.GetResting(),
		Speeds: schedule.Speeds{
			PrefillRate: float64(l.GetPrefillRate()),
			Pace:        float64(l.GetPaceUs()) / microseconds,
		},
	}
}
