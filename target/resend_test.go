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

// resendCases are requests that net/http considers replayable, followed by one
// that it does not.
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
	{name: "POST without a body, with an idempotency key", method: "POST", header: http.Header{"Idempotency-Key": {"k"}}},
	{name: "POST with an idempotency key", method: "POST", header: http.Header{"Idempotency-Key": {"k"}}, body: []byte("x")},
	{name: "POST with the alternative idempotency key", method: "POST", header: http.Header{"X-Idempotency-Key": {"k"}}, body: []byte("x")},
	{name: "DELETE with an idempotency key", method: "DELETE", header: http.Header{"Idempotency-Key": {"k"}}},
	{name: "POST", method: "POST", body: []byte("x")},
}

// TestPlainTransportResends verifies that idleCloseServer provokes the failure:
// without the client's safeguards net/http sends these requests twice.
func TestPlainTransportResends(t *testing.T) {
	for _, c := range resendCases[:len(resendCases)-1] {
		t.Run(c.name, func(t *testing.T) {
			server := newIdleCloseServer(t)
			transport := new(http.Transport)
			defer transport.CloseIdleConnections()
			for _, path := range []string{"/first", "/second"} {
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
			if n := server.count("/second"); n != 2 {
				t.Errorf("net/http sent the request %d times, want 2; the server no longer provokes a resend", n)
			}
		})
	}
}

func TestClientNeverResends(t *testing.T) {
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
			call.Path, call.Latch = "/first", new(SendLatch)
			response, err := client.Do(context.Background(), call)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := readAll(response); err != nil {
				t.Fatal(err)
			}

			call.Path, call.Latch = "/second", new(SendLatch)
			response, err = client.Do(context.Background(), call)
			if err == nil {
				response.Close()
			}
			var failure *Failure
			if !errors.As(err, &failure) || failure.Kind != FailedConnection {
				t.Errorf("dispatch returned %v, want a connection failure", err)
			}
			if !call.Latch.IsSet() {
				t.Error("latch is not set although the target read the request")
			}
			if n := server.count("/second"); n != 1 {
				t.Errorf("request was sent %d times, want 1", n)
			}
		})
	}
}

func TestNonIdempotentCallsUseNewConnections(t *testing.T) {
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
		t.Errorf("target read %d requests, want 3", n)
	}
}

// readAll reads a response to its end and closes it.
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
