package hoststate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// NameIndex maps the name hashes in messages back to names. It is immutable.
type NameIndex struct {
	targets map[uint32]ident.Target
	pools   map[uint32]ident.Pool
	teams   map[uint32]ident.Team
}

// NewNameIndex indexes the names of a routing table and a target snapshot; either may
// be nil.
func NewNameIndex(table *route.Table, snapshot *route.TargetSnapshot) *NameIndex {
	n := &NameIndex{
		targets: make(map[uint32]ident.Target),
		pools:   make(map[uint32]ident.Pool),
		teams:   make(map[uint32]ident.Team),
	}
	if table != nil {
		for name := range table.Pools {
			n.pools[hashName(name)] = name
		}
		for _, team := range table.Teams {
			n.teams[hashName(team.Name)] = team.Name
		}
	}
	if snapshot != nil {
		for name := range snapshot.Targets {
			n.targets[hashName(name)] = name
		}
	}
	return n
}

func hashName[T ~string](name T) uint32 { return uint32(xxhash.Sum64String(string(name))) }
