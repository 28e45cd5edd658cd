package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux header: version (1 byte), type (1 byte), flags (2 bytes), stream
// (4 bytes), length (4 bytes). Data messages have type 0.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
)

// headerCoalescer writes the header and the body of a yamux data message in one write.
// yamux writes them separately, which costs an extra TLS record and system call. It is
// used only by yamux's sending goroutine.
type headerCoalescer struct {
	net.Conn
	raw      net.Conn
	buffered []byte
}

// coalesceHeaders wraps the TLS connection conn, which runs over raw.
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

// Close closes the underlying connection immediately. It skips the TLS close_notify
// alert, which could block and which the end of a session does not require.
func (c *headerCoalescer) Close() error { return c.raw.Close() }

func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == 0 && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
