package freshness

// Table is one of the tables of the store that every host follows.
type Table int

// Tables. Their numbers are part of the messages between hosts.
const (
	Configuration Table = 1 + iota
	Targets
	Hosts
)

// tables holds all tables.
var tables = []Table{Configuration, Targets, Hosts}

func (t Table) valid() bool { return t >= Configuration && t <= Hosts }

// String implements fmt.Stringer.
func (t Table) String() string {
	switch t {
	case Configuration:
		return "configuration"
	case Targets:
		return "targets"
	case Hosts:
		return "hosts"
	default:
		return "unknown"
	}
}
