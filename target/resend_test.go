package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
)

// resendCases are the requests that net/http takes for replayable, and one that
// it doesn't.
var resendCases = []struct {
	name   string
	method string
	header http.Header
	body   []byte
}{
	{name: "GET", method: "GET"},
	{name: "HEAD", method: "HEAD"},
	{name: "OPTIONS", method: "OPTIONS"},
	{name: "GET with a body", method: "GET", body: []byte("x")},
	{name: "POST without a body, with a key", method: "POST", header: http.Header{"Idempotency-Key": {"k"}}},
	{name: "POST with a key", method: "POST", header: http.Header{"Idempotency-Key": {"k"}}, body: []byte("x")},
	{name: "POST with the other key", method: "POST", header: http.Header{"X-Idempotency-Key": {"k"}}, body: []byte("x")},
	{name: "DELETE with a key", method: "DELETE", header: http.Header{"Idempotency-Key": {"k"}}},
	{name: "POST", method: "POST", body: []byte("x")},
}

// TestPlainTransportResends shows that the trap is real: without the client's
// guards net/http sends these requests twice.
func TestPlainTransportResends(t *testing.T) {
	for _, c := range resendCases[:len(resendCases)-1] {
		t.Run(c.name, func(t *testing.T) {
			server := newIdleCloseServer(t)
			transport := new(http.Transport)
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/warm", "/trapped"} {
				request, err := http.NewRequest(c.method, "http://"+server.address()+path, bytes.NewReader(c.body))
				if err != nil {
					t.Fatal(err)
				}
				request.Header = c.header.Clone()
				if request.Header == nil {
					request.Header = make(http.Header)
				}
				if response, err := transport.RoundTrip(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			if n := server.count("/trapped"); n != 2 {
				t.Errorf("net/http sent the request %d times; the trap has gone", n)
			}
		})
	}
}

func TestReusedConnectionIsNeverResent(t *testing.T) {
	for _, c := range resendCases {
		t.Run(c.name, func(t *testing.T) {
			server := newIdleCloseServer(t)
			client := NewClient(Options{})
			defer client.Close()
			call := Call{
				Target: settings.Target{Address: server.address()},
				Kind:   settings.ServicePool,
				Method: c.method,
				Header: c.header,
				Body:   c.body,
			}
			call.Path, call.Latch = "/warm", new(SendLatch)
			response, err := client.Do(context.Background(), call)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAll(response); err != nil {
				t.Fatal(err)
			}

			call.Path, call.Latch = "/trapped", new(SendLatch)
			response, err = client.Do(context.Background(), call)
			if err == nil {
				response.Close()
			}
			var failure *Failure
			if !errors.As(err, &failure) || failure.Kind != FailedConnection {
				t.Errorf("error is %v", err)
			}
			if !call.Latch.IsSet() {
				t.Error("the latch is not set, though the request was read")
			}
			if n := server.count("/trapped"); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
		})
	}
}

func TestNonIdempotentCallsUseFreshConnections(t *testing.T) {
	server := newIdleCloseServer(t)
	client := NewClient(Options{})
	defer client.Close()
	for range 3 {
		response, err := client.Do(context.Background(), Call{
			Target:        settings.Target{Address: server.address()},
			Kind:          settings.ServicePool,
			Method:        "POST",
			Path:          "/submit",
			Body:          []byte("x"),
			NonIdempotent: true,
			Latch:         new(SendLatch),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(response); err != nil {
			t.Fatal(err)
		}
	}
	if n := server.count("/submit"); n != 3 {
		t.Errorf("%d requests arrived", n)
	}
}

// readAll reads an answer to its end and closes it.
func readAll(response *Response) ([]byte, error) {
	defer response.Close()
	var body []byte
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body = append(body, chunk.Bytes...)
	}
}
