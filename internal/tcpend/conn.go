// Package tcpend distinguishes connections that their peer has closed from broken ones.
package tcpend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads return io.EOF only if the peer has closed it. The operating
// system reports a reset once, to a read or to a write; reads after a write that got it see a plain
// end of file, which is replaced by the error of that write here.
//
// A write to a peer that has closed or reset the connection returns only once a read has reached the
// end or the Conn is closed: an HTTP client closes the connection at a failed write, together with the bytes that have
// arrived and are still to be read.
type Conn struct {
	net.Conn

	// writing is held during a write and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error

	// readEnded is closed once no read will bring any more bytes.
	readEnded chan struct{}
	endRead   sync.Once
}

// NewConn returns a Conn over a TCP connection that nothing has been written to.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, readEnded: make(chan struct{})} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.markReadEnded()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		<-c.readEnded
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.markReadEnded()
	return c.Conn.Close()
}

func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endError returns the error of a read that got an end of file. It ends a write that is in progress,
// which may have got the reset and not have returned yet: at its peer's end of file, a connection is
// not used any more.
func (c *Conn) endError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || leavesEnd(c.writeErr) {
		return io.EOF
	}
	return c.writeErr
}

// leavesEnd reports whether the end of file that a read gets after a failed write is the peer's. The
// first write to a connection that the peer has closed and then reset fails with EPIPE; if the reset
// was all, it fails with ECONNRESET.
func leavesEnd(writeErr error) bool {
	return errors.Is(writeErr, syscall.EPIPE) || errors.Is(writeErr, os.ErrDeadlineExceeded)
}

func (c *Conn) markReadEnded() { c.endRead.Do(func() { close(c.readEnded) }) }
