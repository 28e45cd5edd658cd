package freshness

// Position is a point in the history of the store. Versions are comparable only within an
// era: the store begins a new one when it returns from an older copy of itself, and then
// gives out versions again.
type Position struct {
	Era     uint64
	Version uint64
}

// Before reports whether p lies before other.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}
