package policy

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// variant describes one cluster: a policy and, optionally, an engine that is absent or
// is slowed down in the middle of the phase.
type variant struct {
	policy settings.Policy
	name   string
	loads  []float64
	slowed ident.Target
	absent ident.Target
}

func (m *measurement) variants() []variant {
	var all []variant
	for _, policy := range m.options.policies {
		all = append(all, variant{policy: settings.Policy(policy), loads: m.options.loads})
	}
	if m.options.slowLoad > 0 {
		fastest := m.fastest()
		loads := []float64{m.options.slowLoad}
		all = append(all,
			variant{policy: settings.PolicyPredictive, name: "slowed", loads: loads, slowed: fastest},
			variant{policy: settings.PolicyPredictive, name: "absent", loads: loads, absent: fastest})
	}
	return all
}
