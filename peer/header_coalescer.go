package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux header: version, type, flags (2 bytes), stream (4 bytes),
// length (4 bytes). The type of data is 0.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
)

// headerJoiner writes the header and the body of a yamux message at once. yamux
// writes them one after the other, which costs a TLS record and a system call
// more. Only yamux's sending goroutine writes to it.
type headerCoalescer struct {
	net.Conn
	raw      net.Conn
	buffered []byte
}

// joinHeaders wraps the TLS connection that runs over raw.
func coalesceHeaders(conn, raw net.Conn) *headerCoalescer {
	return &headerCoalescer{Conn: conn, raw: raw}
}

// Write implements io.Writer.
func (c *headerCoalescer) Write(p []byte) (int, error) {
	if len(c.buffered) == 0 && isDataHeader(p) {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	c.buffered = append(c.buffered, p...)
	_, err := c.Conn.Write(c.buffered)
	c.buffered = c.buffered[:0]
	if cap(c.buffered) > maxReusedBufferBytes {
		c.buffered = nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the connection under TLS at once. The farewell of TLS could
// block, and the end of a session needs none.
func (c *headerCoalescer) Close() error { return c.raw.Close() }

func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == 0 && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
