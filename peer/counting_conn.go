package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// countingConn counts the bytes and writes on the network connection, including TLS
// overhead.
type countingConn struct {
	net.Conn
	bytes  tally.Counter
	writes tally.Counter
}

func (c *counters) countWrites(raw net.Conn) net.Conn {
	return &countingConn{Conn: raw, bytes: c.wireBytes, writes: c.wireWrites}
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Inc(int64(n))
	c.writes.Inc(1)
	return n, err
}
