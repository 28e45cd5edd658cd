package route

// Configuration is one version of the operator's configuration as it is written, with its
// entries in their order.
type Configuration struct {
	Version uint64
	Limits  Limits
	Routes  []*Route
	Pools   []*Pool
	Teams   []*Team
}

// Table returns the configuration with its lookup indexes.
func (c *Configuration) Table() *Table {
	return NewTable(c.Version, c.Limits, c.Routes, c.Pools, c.Teams)
}
