package faultproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/tcptest"
)

const (
	testTimeout = 10 * time.Second
	// noDataWait is how long the tests wait for data that must not arrive. A different
	// value cannot make a correct proxy fail.
	noDataWait = 50 * time.Millisecond
)

// echoServer starts a server that returns every line in upper case.
func echoServer(t *testing.T) string {
	t.Helper()
	return tcptest.Serve(t, echoLines)
}

func echoLines(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		_, _ = io.WriteString(conn, strings.ToUpper(lines.Text())+"\n")
	}
}

func openLink(t *testing.T) *Link {
	t.Helper()
	_, link := openProxy(t)
	return link
}

func openProxy(t *testing.T) (*Proxy, *Link) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	proxy := New(ctx)
	link, err := proxy.AddLink(LinkOptions{Name: "l", Listen: "127.0.0.1:0", Target: echoServer(t)})
	if err != nil {
		t.Fatal(err)
	}
	return proxy, link
}

func dial(t *testing.T, link *Link) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", link.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func exchange(conn net.Conn, reader *bufio.Reader, wait time.Duration) (string, error) {
	if _, err := io.WriteString(conn, "hello\n"); err != nil {
		return "", err
	}
	return read(conn, reader, wait)
}

func read(conn net.Conn, reader *bufio.Reader, wait time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	return reader.ReadString('\n')
}

func setFaults(t *testing.T, link *Link, f Faults) {
	t.Helper()
	if err := link.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func TestCutHoldsBytesBack(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
	}{
		{"both directions", Faults{Cut: true}},
		{"to the target", Faults{CutToTarget: true}},
		{"to the client", Faults{CutToClient: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			link := openLink(t)
			conn, reader := dial(t, link)
			if _, err := exchange(conn, reader, testTimeout); err != nil {
				t.Fatal(err)
			}
			setFaults(t, link, c.faults)
			if got, err := exchange(conn, reader, noDataWait); err == nil {
				t.Fatalf("received %q during the cut", got)
			}
			setFaults(t, link, Faults{})
			if got, err := read(conn, reader, testTimeout); err != nil || got != "HELLO\n" {
				t.Fatalf("after the cut: received %q, error %v", got, err)
			}
		})
	}
}

func TestDelayAppliesInBothDirections(t *testing.T) {
	link := openLink(t)
	conn, reader := dial(t, link)
	setFaults(t, link, Faults{DelayMs: 30})
	start := time.Now()
	if _, err := exchange(conn, reader, testTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Fatalf("exchange took %v, want at least 60ms", took)
	}
}

func TestResetEndsConnections(t *testing.T) {
	link := openLink(t)
	conn, reader := dial(t, link)
	if _, err := exchange(conn, reader, testTimeout); err != nil {
		t.Fatal(err)
	}
	link.Reset()
	if _, err := exchange(conn, reader, testTimeout); err == nil {
		t.Fatal("connection still works after the reset")
	}
}

func TestRefuseAndResumeListening(t *testing.T) {
	link := openLink(t)
	setFaults(t, link, Faults{Refuse: true})
	if conn, err := net.Dial("tcp", link.Address); err == nil {
		_ = conn.Close()
		t.Fatal("link accepted a connection while refusing")
	}
	setFaults(t, link, Faults{})
	conn, reader := dial(t, link)
	if _, err := exchange(conn, reader, testTimeout); err != nil {
		t.Fatal(err)
	}
}

func TestHalfCloseIsForwarded(t *testing.T) {
	link := openLink(t)
	conn, reader := dial(t, link)
	if _, err := io.WriteString(conn, "last"); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(reader)
	if err != nil || string(got) != "LAST\n" {
		t.Fatalf("after the half-close: received %q, error %v", got, err)
	}
}

func TestFaultsApplyToOneSource(t *testing.T) {
	cases := []struct {
		name   string
		source string
		cut    bool
	}{
		{"this process", "this", true},
		{"another process", "other", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			proxy, link := openProxy(t)
			proxy.RegisterSource(Source{Name: "this", PID: os.Getpid()})
			proxy.RegisterSource(Source{Name: "other", PID: os.Getppid()})
			link.SetSourceFaults(c.source, Faults{Cut: true})
			conn, reader := dial(t, link)
			wait := testTimeout
			if c.cut {
				wait = noDataWait
			}
			_, err := exchange(conn, reader, wait)
			if cut := err != nil; cut != c.cut {
				t.Fatalf("connection cut: %v (%v), want %v", cut, err, c.cut)
			}
		})
	}
}
