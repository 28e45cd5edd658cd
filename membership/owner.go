package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelyard/cornelyard/ident"
)

// Owner returns the host of the data centre that owns the pool: the one with the
// highest rendezvous hash among the members that are neither dead nor leaving. If all
// that are not dead are leaving, one of those owns the pool. It returns "" if there is
// none.
func (v *View) Owner(dataCentre ident.DataCentre, pool ident.Pool) ident.Host {
	if owner := v.highestScore(dataCentre, pool, false); owner != "" {
		return owner
	}
	return v.highestScore(dataCentre, pool, true)
}

func (v *View) highestScore(dc ident.DataCentre, pool ident.Pool, leaving bool) ident.Host {
	var best ident.Host
	var bestScore uint64
	for _, m := range v.Members {
		if m.DataCentre != dc || m.State == Dead || m.Leaving != leaving {
			continue
		}
		score := rendezvousScore(m.Host, pool)
		if best == "" || score > bestScore {
			best, bestScore = m.Host, score
		}
	}
	return best
}

func rendezvousScore(host ident.Host, pool ident.Pool) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(pool))
	return d.Sum64()
}
