package restclient_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cornelyard/cornelyard/internal/loopback"
	standinplatform "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/internal/tcptest"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

const shortTimeout = 200 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPlatform starts a stand-in platform and returns it with a client.
func startPlatform(t *testing.T) (*standinplatform.Platform, *restclient.Client) {
	t.Helper()
	platform := standinplatform.New(standinplatform.Options{})
	server := httptest.NewServer(platform.Handler())
	client := restclient.New(restclient.Options{BaseURL: server.URL})
	t.Cleanup(server.Close)
	t.Cleanup(client.CloseIdleConnections)
	return platform, client
}

func put(key, value string, revision uint64) storage.Transaction {
	return storage.Transaction{
		Checks: []storage.Check{{Key: key, Revision: revision}},
		Puts:   []storage.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestTransactionChecks(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	revision, err := client.Commit(ctx, put("a/1", "one", 0))
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Commit(ctx, put("a/1", "two", 0))
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("commit with a failing check: got error %v, want a ConflictError", err)
	}
	if row := conflict.Rows[0]; row.Revision != revision || string(row.Value) != "one" {
		t.Fatalf("conflict holds row %+v, want the row as first committed", row)
	}
	if _, err := client.Commit(ctx, storage.Transaction{Deletes: []string{"a/1"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, "a/1"); !errors.Is(err, storage.ErrNotFound) {
		t.Fatalf("get of a deleted row: got error %v, want ErrNotFound", err)
	}
}

func TestScanPagesInKeyOrder(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	for _, key := range []string{"a/3", "a/1", "b/1", "a/2"} {
		if _, err := client.Commit(ctx, put(key, key, 0)); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := client.Scan(ctx, "a/", "a/1", 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != 1 || rows[0].Key != "a/2" {
		t.Fatalf("scan returned %+v, want only the row a/2", rows)
	}
}

func TestObjects(t *testing.T) {
	_, client := startPlatform(t)
	ctx := context.Background()
	objects := client.Objects()
	for _, data := range []string{"", "some bytes"} {
		if err := objects.Put(ctx, "answers/1", []byte(data)); err != nil {
			t.Fatal(err)
		}
		got, err := objects.Get(ctx, "answers/1")
		if err != nil || string(got) != data {
			t.Fatalf("got %q, %v; want %q", got, err, data)
		}
	}
	for range 2 {
		if err := objects.Delete(ctx, "answers/1"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := objects.Get(ctx, "answers/1"); !errors.Is(err, storage.ErrNotFound) {
		t.Fatalf("get of a deleted object: got error %v, want ErrNotFound", err)
	}
}

func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  standinplatform.Faults
		want    error
		applied bool
	}{
		{"outage", standinplatform.Faults{Outage: true}, storage.ErrUnavailable, false},
		{"hang", standinplatform.Faults{Hang: true}, storage.ErrUnknownOutcome, false},
		{"lost request", standinplatform.Faults{LostRequests: 1}, storage.ErrUnknownOutcome, false},
		{"lost confirmation", standinplatform.Faults{LostConfirmations: 1}, storage.ErrUnknownOutcome, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			platform, _ := startPlatform(t)
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			client := restclient.New(restclient.Options{BaseURL: server.URL, Timeout: shortTimeout})
			defer client.CloseIdleConnections()
			platform.SetFaults(c.faults)
			if _, err := client.Commit(context.Background(), put("k", "v", 0)); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			platform.SetFaults(standinplatform.Faults{})
			_, err := client.Get(context.Background(), "k")
			if applied := err == nil; applied != c.applied {
				t.Fatalf("applied is %v (%v), want %v", applied, err, c.applied)
			}
		})
	}
}

func TestReadFaultsAreUnavailable(t *testing.T) {
	platform, client := startPlatform(t)
	platform.SetFaults(standinplatform.Faults{Outage: true})
	if _, err := client.Get(context.Background(), "k"); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestDialFailureIsUnavailable(t *testing.T) {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	client := restclient.New(restclient.Options{BaseURL: "http://" + address})
	if _, err := client.Commit(context.Background(), put("k", "v", 0)); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("got %v", err)
	}
}

func TestMalformedCommitResponseHasUnknownOutcome(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{"))
	}))
	defer server.Close()
	client := restclient.New(restclient.Options{BaseURL: server.URL})
	defer client.CloseIdleConnections()
	if _, err := client.Commit(context.Background(), put("k", "v", 0)); !errors.Is(err, storage.ErrUnknownOutcome) {
		t.Fatalf("got %v", err)
	}
}

// closingServer starts a server that responds to the first request of each connection
// and closes the connection after reading the second.
func closingServer(t *testing.T, received *atomic.Int64) string {
	t.Helper()
	return "http://" + tcptest.Serve(t, func(conn net.Conn) { respondOnce(conn, received) })
}

func respondOnce(conn net.Conn, received *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for responded := false; ; responded = true {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = request.Body.Close()
		received.Add(1)
		if responded {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}"))
	}
}

func TestWriteIsNotResentOnAnotherConnection(t *testing.T) {
	var received atomic.Int64
	client := restclient.New(restclient.Options{BaseURL: closingServer(t, &received)})
	defer client.CloseIdleConnections()
	ctx := context.Background()
	if _, err := client.Commit(ctx, put("k", "v", 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Commit(ctx, put("k", "v", 1)); !errors.Is(err, storage.ErrUnknownOutcome) {
		t.Fatalf("write on a closed connection: got error %v, want ErrUnknownOutcome", err)
	}
	if got := received.Load(); got != 2 {
		t.Fatalf("server received %d writes, want 2", got)
	}
}

// Guards against kept connections that have gone silent together, each of which costs a call its whole time.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	const connections = 4
	var silent atomic.Bool
	var open sync.WaitGroup
	open.Add(connections)
	address := tcptest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		early := !silent.Load()
		for reader := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if early && silent.Load() {
				continue
			}
			if early {
				open.Done()
				open.Wait()
			}
			_, _ = conn.Write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	client := restclient.New(restclient.Options{BaseURL: "http://" + address, Timeout: shortTimeout})
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = client.Get(context.Background(), "k") })
	}
	calls.Wait()
	silent.Store(true)
	if _, err := client.Get(context.Background(), "k"); !errors.Is(err, storage.ErrUnavailable) {
		t.Fatalf("call over a silent connection: got %v, want ErrUnavailable", err)
	}
	if _, err := client.Get(context.Background(), "k"); errors.Is(err, storage.ErrUnavailable) {
		t.Errorf("the next call: got %v", err)
	}
}
