package pool

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// dataCentres returns the data centres with at least one member that is not dead.
func dataCentres(view *membership.View) []ident.DataCentre {
	seen := make(map[ident.DataCentre]struct{})
	var found []ident.DataCentre
	for _, m := range view.Members {
		if _, ok := seen[m.DataCentre]; ok || m.State == membership.Dead {
			continue
		}
		seen[m.DataCentre] = struct{}{}
		found = append(found, m.DataCentre)
	}
	return found
}

// liveMembers returns the hosts of a data centre that are not dead.
func liveMembers(view *membership.View, dc ident.DataCentre) []ident.Host {
	var live []ident.Host
	for _, m := range view.Members {
		if m.DataCentre == dc && m.State != membership.Dead {
			live = append(live, m.Host)
		}
	}
	return live
}
