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
type headerJoiner struct {
	net.Conn
	raw    net.Conn
	joined []byte
}

// joinHeaders wraps the TLS connection that runs over raw.
func joinHeaders(conn, raw net.Conn) *headerJoiner {
	return &headerJoiner{Conn: conn, raw: raw}
}

// Write implements io.Writer.
func (j *headerJoiner) Write(p []byte) (int, error) {
	if len(j.joined) == 0 && announcesBody(p) {
		j.joined = append(j.joined, p...)
		return len(p), nil
	}
	if len(j.joined) == 0 {
		return j.Conn.Write(p)
	}
	j.joined = append(j.joined, p...)
	_, err := j.Conn.Write(j.joined)
	j.joined = j.joined[:0]
	if cap(j.joined) > keptBufferBytes {
		j.joined = nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the connection under TLS at once. The farewell of TLS could
// block, and the end of a session needs none.
func (j *headerJoiner) Close() error { return j.raw.Close() }

func announcesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == 0 && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
