package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
)

// exchange sends a request and reads the response to its end.
func exchange(transport *Transport, address string) (string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	if err != nil {
		return "", err
	}
	response, err := transport.Send(request, []byte("x"), SendOptions{Latch: new(SendLatch)})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// cutServer responds to the first requests of a connection in full, then with a text, and closes or
// resets the connection.
func cutServer(t *testing.T, wholeResponses int, text string, resets bool) (address string) {
	return connServer(t, func(conn *net.TCPConn, request *http.Request) {
		reader := bufio.NewReader(conn)
		for range wholeResponses {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			next, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			request = next
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		if resets {
			_ = conn.SetLinger(0)
		}
	})
}

func TestResponseThatIsCutAtAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n"
	for name, whole := range map[string]string{
		"length":         head + "Content-Length: 2\r\n\r\nok",
		"length, LF":     "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"head":           head + "\r\n",
		"head, LF":       "HTTP/1.1 200 OK\nA: b\n\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\n",
		"interim head":   "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + head + "\r\n",
		"chunk sizes":    head + chunks + "a\r\n0123456789\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
		"chunk of zeros": head + chunks + "0010\r\n0123456789abcdef\r\n000\r\n\r\n",
		"extension":      head + chunks + "2;a=b\r\nok\r\n0;c=d\r\n\r\n",
		"trailers":       head + chunks + "2\r\nok\r\n0\r\nC: d\r\nE: f\r\n\r\n",
	} {
		for _, wholeResponses := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, %d before it", name, wholeResponses), func(t *testing.T) {
				t.Parallel()
				for n := range 2 * len(whole) {
					n, resets := n/2, n%2 == 1
					transport := NewTransport(TransportOptions{})
					address := cutServer(t, wholeResponses, whole[:n], resets)
					for range wholeResponses {
						if body, err := exchange(transport, address); err != nil || body != "ok" {
							t.Fatalf("the response before it: %q, %v", body, err)
						}
					}
					if body, err := exchange(transport, address); err == nil {
						t.Errorf("body %q counts as complete after %q, reset %v", body, whole[:n], resets)
					}
					transport.Close()
				}
				transport := NewTransport(TransportOptions{})
				defer transport.Close()
				if _, err := exchange(transport, cutServer(t, 0, whole, false)); err != nil {
					t.Errorf("the whole response: %v", err)
				}
			})
		}
	}
}

func TestCutResponseIsNotCompleteAtTheOwnInterface(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderDispatch + ": d-1\r\n"
	stream := strings.ReplaceAll(tokenEvent(1)+endOfStream(1), "ID", "d-1")
	for name, test := range map[string]struct {
		kind  settings.PoolKind
		whole string
	}{
		"service, length":  {settings.ServicePool, head + "Content-Length: 2\r\n\r\nok"},
		"service, chunks":  {settings.ServicePool, head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nC: d\r\n\r\n"},
		"document":         {settings.EnginePool, head + "\r\n{\"id\": \"d-1\" }"},
		"document, length": {settings.EnginePool, head + "Content-Length: 14\r\n\r\n{\"id\": \"d-1\" }"},
		"stream":           {settings.EnginePool, head + "Content-Type: text/event-stream\r\n\r\n" + stream},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := range len(test.whole) {
				if err := respondToCall(t, test.kind, test.whole[:n]); err == nil {
					t.Errorf("%q counts as complete", test.whole[:n])
				}
			}
			if err := respondToCall(t, test.kind, test.whole); err != nil {
				t.Errorf("the whole response: %v", err)
			}
		})
	}
}
