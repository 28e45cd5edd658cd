package config

import "strconv"

// HostClass names hosts of the same size: the memory, and the bandwidth of the link if it is
// known. An example is 112MB-10Mbps.
func (g *Gateway) HostClass() string {
	class := strconv.Itoa(g.MemoryMB) + "MB"
	if g.LinkMbps > 0 {
		class += "-" + strconv.FormatFloat(g.LinkMbps, 'f', -1, 64) + "Mbps"
	}
	return class
}
