package faultproxy

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// TestFaultsActOnConnectionsOlderThanTheirSource plays a host whose first
// connection is accepted before the test bed has told its process.
func TestFaultsApplyToConnectionsOpenedBeforeRegistration(t *testing.T) {
	proxy, link := openProxy(t)
	conn, reader := dial(t, link)
	if _, err := exchange(conn, reader, testTimeout); err != nil {
		t.Fatal(err)
	}
	proxy.RegisterSource(Source{Name: "this", PID: os.Getpid()})
	link.SetSourceFaults("this", Faults{Cut: true})
	if got, err := exchange(conn, reader, noDataWait); err == nil {
		t.Fatalf("%q came through the cut", got)
	}
	link.SetSourceFaults("this", Faults{})
	if got, err := read(conn, reader, testTimeout); err != nil || got != "HELLO\n" {
		t.Fatalf("after the cut: %q, %v", got, err)
	}
}

// TestSourceIsFoundBesideManyOtherConnections looks connections up while the
// kernel's table of sockets changes all the time.
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
		t.Fatalf("the source of %d in %d connections was not found", missed, lookups)
	}
}

// churn opens and closes connections until stop is called.
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
