package hoststate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// Directory translates the hashes of names in messages. It does not change.
type Directory struct {
	targets map[uint32]ident.Target
	pools   map[uint32]ident.Pool
	teams   map[uint32]ident.Team
}

// NewDirectory returns the names of a configuration and a roster; either may be
// nil.
func NewDirectory(table *route.Table, roster *route.TargetSnapshot) *Directory {
	d := &Directory{
		targets: make(map[uint32]ident.Target),
		pools:   make(map[uint32]ident.Pool),
		teams:   make(map[uint32]ident.Team),
	}
	if table != nil {
		for name := range table.Pools {
			d.pools[hashName(name)] = name
		}
		for _, team := range table.Teams {
			d.teams[hashName(team.Name)] = team.Name
		}
	}
	if roster != nil {
		for name := range roster.Targets {
			d.targets[hashName(name)] = name
		}
	}
	return d
}

func hashName[T ~string](name T) uint32 { return uint32(xxhash.Sum64String(string(name))) }
