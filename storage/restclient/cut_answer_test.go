package restclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/tcptest"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

// platformThatAnswers returns a client of a platform that answers each call with a text and closes
// the connection.
func platformThatAnswers(t *testing.T, text string) *restclient.Client {
	t.Helper()
	address := tcptest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_ = conn.SetReadDeadline(time.Now().Add(shortTimeout))
		_, _ = conn.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(conn, text)
	})
	client := restclient.New(restclient.Options{BaseURL: "http://" + address, Timeout: time.Second})
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func TestObjectThatEndsWithItsConnectionIsNotRead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"} {
		got, err := platformThatAnswers(t, head+"half").Objects().Get(context.Background(), "o")
		if !errors.Is(err, storage.ErrUnavailable) {
			t.Errorf("%q: got %q and error %v, want %v", head, got, err, storage.ErrUnavailable)
		}
	}
}

func TestWriteWhoseAnswerEndsWithItsConnectionMayHaveTakenEffect(t *testing.T) {
	client := platformThatAnswers(t, "HTTP/1.1 409 Conflict\r\n\r\n{\"rows\":[")
	if _, err := client.Commit(context.Background(), put("a", "x", 1)); !errors.Is(err, storage.ErrUnknownOutcome) {
		t.Errorf("got error %v, want %v", err, storage.ErrUnknownOutcome)
	}
}
