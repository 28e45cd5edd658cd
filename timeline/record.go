package timeline

import (
	"unique"

	"github.com/cornelyard/cornelyard/ident"
)

// record is the compact form of an Event. Recurring strings are interned; the
// host and the sequence are derived from the ring and the position in it.
type record struct {
	time     Timestamp
	version  uint64
	request  ident.Request
	dispatch ident.Dispatch
	kind     unique.Handle[string]
	team     unique.Handle[string]
	tier     unique.Handle[string]
	pool     unique.Handle[string]
	target   unique.Handle[string]
	peer     unique.Handle[string]
	detail   unique.Handle[string]
}

func pack(e Event) record {
	return record{
		time:     e.Time,
		version:  e.Version,
		request:  e.Request,
		dispatch: e.Dispatch,
		kind:     unique.Make(string(e.Kind)),
		team:     unique.Make(string(e.Team)),
		tier:     unique.Make(string(e.Tier)),
		pool:     unique.Make(string(e.Pool)),
		target:   unique.Make(string(e.Target)),
		peer:     unique.Make(string(e.Peer)),
		detail:   unique.Make(e.Detail),
	}
}

func (r *record) unpack(host ident.Host, sequence uint64) Event {
	return Event{
		Time:     r.time,
		Host:     host,
		Sequence: sequence,
		Kind:     Kind(r.kind.Value()),
		Request:  r.request,
		Dispatch: r.dispatch,
		Team:     ident.Team(r.team.Value()),
		Tier:     ident.Tier(r.tier.Value()),
		Pool:     ident.Pool(r.pool.Value()),
		Target:   ident.Target(r.target.Value()),
		Peer:     ident.Host(r.peer.Value()),
		Version:  r.version,
		Detail:   r.detail.Value(),
	}
}
