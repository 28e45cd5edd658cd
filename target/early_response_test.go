package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/tcptest"
	"github.com/cornelyard/cornelyard/settings"
)

// uploadBytes is the size of a request body that the kernel does not take at once.
const uploadBytes = 8 << 20

// connServer calls respond for the head of the first request of each connection.
func connServer(t *testing.T, respond func(conn *net.TCPConn, request *http.Request)) (address string) {
	t.Helper()
	return tcptest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			respond(conn.(*net.TCPConn), request)
		}
	})
}

func TestResponseThatIsReadAfterTheUploadFailedIsWhole(t *testing.T) {
	body := strings.Repeat("a", 32<<10)
	closed := make(chan struct{})
	address := connServer(t, func(conn *net.TCPConn, request *http.Request) {
		defer close(closed)
		_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
		_ = conn.CloseWrite()
		// Unread bytes make this a reset, after the end of file.
		_ = conn.Close()
	})
	transport := NewTransport(TransportOptions{})
	defer transport.Close()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.Send(request, make([]byte, uploadBytes), SendOptions{Latch: new(SendLatch)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	<-closed
	time.Sleep(50 * time.Millisecond)
	if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
		t.Errorf("read %d bytes with error %v, want %d", len(got), err, len(body))
	}
}

// A service's response without a length is rejected; the others must show their end themselves.
func TestResponseThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderDispatch + ": d-1\r\n"
	for name, test := range map[string]struct {
		kind     settings.PoolKind
		response string
	}{
		"service":                {settings.ServicePool, head + "\r\nhalf"},
		"service, length":        {settings.ServicePool, head + "Content-Length: 9\r\n\r\nhalf"},
		"service, chunks":        {settings.ServicePool, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		"engine":                 {settings.EnginePool, head + "\r\n{\"id\":\"d-1\""},
		"engine, no body":        {settings.EnginePool, head + "\r\n"},
		"engine, whole document": {settings.EnginePool, head + "\r\n{\"id\":\"d-1\"}"},
		"engine, stream":         {settings.EnginePool, head + "Content-Type: text/event-stream\r\n\r\ndata: {\"id\":\"d-1\"}\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := connServer(t, func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
				_, _ = io.WriteString(conn, test.response)
				_, _ = io.CopyN(io.Discard, request.Body, 1<<20)
				_ = conn.SetLinger(0)
			})
			client := NewClient(Options{})
			defer client.Close()
			for range 12 {
				response, err := client.Do(context.Background(), Call{
					Target: settings.Target{Address: address, EchoesID: true}, Kind: test.kind, Dispatch: "d-1",
					Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadBytes), Latch: new(SendLatch),
				})
				if err == nil {
					_, err = readAll(response)
				}
				if err == nil {
					t.Error("the response counts as complete")
				}
			}
		})
	}
}
