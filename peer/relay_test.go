package peer_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpRelay forwards TCP connections to an address.
type tcpRelay struct {
	address string
	mu      sync.Mutex
	conns   []net.Conn
}

func startRelay(t *testing.T, to string) *tcpRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &tcpRelay{address: listener.Addr().String()}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.track(in, out)
			group.Go(func() { copyUntilClosed(in, out) })
			group.Go(func() { copyUntilClosed(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeConnections()
		group.Wait()
	})
	return r
}

func copyUntilClosed(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (r *tcpRelay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, conns...)
}

// closeConnections closes all current connections. New ones are still forwarded.
func (r *tcpRelay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}
