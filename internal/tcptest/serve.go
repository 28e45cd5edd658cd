// Package tcptest serves raw connections in tests.
package tcptest

import (
	"net"
	"testing"
)

// Serve passes each connection to an address to handle, in a goroutine of its own, until
// the test ends, and returns the address. Handle must close the connection.
func Serve(t testing.TB, handle func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}
