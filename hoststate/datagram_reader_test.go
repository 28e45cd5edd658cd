package hoststate

import (
	"net"
	"testing"
	"time"

	"golang.org/x/net/ipv4"
)

// openTestReader returns a reader and a connection that sends to it.
func openTestReader(t *testing.T) (*datagramReader, net.Conn) {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	sender, err := net.Dial("udp4", conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), sender.Close() })
	r := newDatagramReader()
	r.open(ipv4.NewPacketConn(conn))
	return &r, sender
}

// Guards against decisions that rest on older states than those that have arrived, although datagrams
// are read at intervals only, and against a decision that waits for datagrams.
func TestArrivedStatesAreReadBeforeADecision(t *testing.T) {
	r, sender := openTestReader(t)
	handled := 0
	handle := func(*replayFilter, []byte) { handled++ }
	for range maxReceiveBatch + 3 {
		if _, err := sender.Write([]byte("state")); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Now()
	r.readPending(now, handle)
	if handled != maxReceiveBatch+3 {
		t.Errorf("%d datagrams were read, want all %d", handled, maxReceiveBatch+3)
	}
	r.readPending(now.Add(time.Second), handle)
	if took := time.Since(now); took > time.Second {
		t.Errorf("waited %v for datagrams", took)
	}
}

// Guards against a queue that waits for the next interval while a state has arrived that would free
// its requests.
func TestQueuedRequestsEndTheIntervalBetweenReads(t *testing.T) {
	r, _ := openTestReader(t)
	r.setUrgent(true)
	start := time.Now()
	for range 10 {
		r.setUrgent(false)
		r.setUrgent(true)
		r.sleep(t.Context())
	}
	if took := time.Since(start); took > 5*readInterval {
		t.Errorf("ten reads came %v late", took)
	}
}
