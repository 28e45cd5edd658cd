package faultproxy

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestFaultsApplyToConnectionsOpenedBeforeRegistration covers a host whose first
// connection is accepted before the test bed has registered its process. Faults of the
// source must apply to that connection too.
func TestFaultsApplyToConnectionsOpenedBeforeRegistration(t *testing.T) {
	proxy, link := openProxy(t)
	conn, reader := dial(t, link)
	if _, err := exchange(conn, reader, testTimeout); err != nil {
		t.Fatal(err)
	}
	proxy.RegisterSource(Source{Name: "this", PID: os.Getpid()})
	link.SetSourceFaults("this", Faults{Cut: true})
	if got, err := exchange(conn, reader, noDataWait); err == nil {
		t.Fatalf("received %q during the cut", got)
	}
	link.SetSourceFaults("this", Faults{})
	if got, err := read(conn, reader, testTimeout); err != nil || got != "HELLO\n" {
		t.Fatalf("after the cut: received %q, error %v", got, err)
	}
}

// TestSourceLookupDuringConnectionChurn looks up connections while the kernel's socket
// table changes constantly. Every lookup must find the source.
func TestSourceLookupDuringConnectionChurn(t *testing.T) {
	const lookups = 300
	stop := churnConnections(t)
	defer stop()
	registry := &sources{}
	registry.set(Source{Name: "this", PID: os.Getpid()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	missed := 0
	for range lookups {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if registry.lookup(accepted) != "this" {
			missed++
		}
		_ = client.Close()
		_ = accepted.Close()
	}
	if missed > 0 {
		t.Fatalf("source of %d of %d connections not found", missed, lookups)
	}
}

// churnConnections opens and closes connections until stop is called.
func churnConnections(t *testing.T) (stop func()) {
	t.Helper()
	const dialers = 4
	address := echoServer(t)
	var stopped atomic.Bool
	ended := make(chan struct{}, dialers)
	for range dialers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for !stopped.Load() {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}()
	}
	return func() {
		stopped.Store(true)
		for range dialers {
			<-ended
		}
	}
}
