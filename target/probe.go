package target

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// ProbeResult is what an attempt to connect says about a target's process.
type ProbeResult int

const (
	// ProbeConnected: a process listens at the address.
	ProbeConnected ProbeResult = iota
	// ProbeRefused: the machine responds, and no process listens at the address.
	ProbeRefused
	// ProbeFailed: nothing responded in time, which says nothing about the process.
	ProbeFailed
)

// String returns the name of the result as it appears in logs.
func (r ProbeResult) String() string {
	return [...]string{"connected", "refused", "failed"}[r]
}

// probeTimeout bounds the time that a probe takes.
const probeTimeout = 100 * time.Millisecond

// Probe connects to an address, IP:port, and closes the connection.
func Probe(ctx context.Context, address string) ProbeResult {
	return ProbeWith(ctx, (&net.Dialer{}).DialContext, address)
}

// ProbeWith is like Probe, with another way to connect.
func ProbeWith(ctx context.Context, dial DialFunc, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	switch {
	case err == nil:
		// Nothing was sent, so a failure to close loses nothing.
		_ = conn.Close()
		return ProbeConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	default:
		return ProbeFailed
	}
}
