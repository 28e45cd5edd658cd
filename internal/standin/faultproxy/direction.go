package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

const (
	readBufferSize   = 32 << 10 // bytes
	maxPendingChunks = 64
)

// direction holds the current faults of one direction.
type direction struct {
	gate  standin.Gate
	delay atomic.Int64 // nanoseconds
}

// copyBytes forwards data from one connection to another. It forwards a half-close and
// returns nil, or returns the first error. It looks up the current faults for each
// chunk.
func copyBytes(ctx context.Context, faults func() *direction, to, from net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan chunk, maxPendingChunks)
	go readChunks(ctx, faults, from, chunks)
	for p := range chunks {
		if err := faults().deliver(ctx, to, p); err != nil {
			return ignoreEOF(err)
		}
	}
	return ctx.Err()
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func (d *direction) deliver(ctx context.Context, to net.Conn, p chunk) error {
	if err := standin.Sleep(ctx, time.Until(p.due)); err != nil {
		return err
	}
	if err := d.gate.Wait(ctx); err != nil {
		return err
	}
	if _, err := to.Write(p.data); err != nil {
		return err
	}
	if errors.Is(p.err, io.EOF) {
		return errors.Join(closeWrite(to), p.err)
	}
	return p.err
}

func readChunks(ctx context.Context, faults func() *direction, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, readBufferSize)
		n, err := from.Read(buffer)
		due := time.Now().Add(time.Duration(faults().delay.Load()))
		select {
		case chunks <- chunk{data: buffer[:n], err: err, due: due}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

func closeWrite(conn net.Conn) error {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return conn.Close()
	}
	return halfCloser.CloseWrite()
}
