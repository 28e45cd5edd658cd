// Package tcpsilence detects TCP connections whose peer stopped responding without
// closing or resetting the connection.
package tcpsilence

import (
	"net"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Error is the class of all errors of this package.
var Error = errs.Class("tcpsilence")

// maxUnansweredProbes is the number of unanswered keep-alive probes after which a
// connection is broken.
const maxUnansweredProbes = 3

// Dialer returns a dialer whose connections break when the peer has not responded for
// about unresponsiveTimeout, even while no data is sent.
func Dialer(dialTimeout, unresponsiveTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     max(unresponsiveTimeout/2, time.Second),
			Interval: max(unresponsiveTimeout/(2*maxUnansweredProbes), time.Second),
			Count:    maxUnansweredProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, unresponsiveTimeout)
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may remain
// unacknowledged.
func setUserTimeout(raw syscall.RawConn, unresponsiveTimeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unresponsiveTimeout.Milliseconds()))
	})
	return Error.Wrap(errs.Combine(err, sockoptErr))
}
