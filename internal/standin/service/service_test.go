package service

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cornelyard/cornelyard/internal/standin"
)

func startService(t *testing.T, o Options) (*Service, *http.Client, string) {
	t.Helper()
	s := New(o)
	server := httptest.NewUnstartedServer(s.Handler())
	standin.ConfigureServer(server.Config)
	server.Start()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(server.Close)
	t.Cleanup(client.CloseIdleConnections)
	return s, client, server.URL
}

func call(t *testing.T, client *http.Client, url, id, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.GetBody = nil
	request.Header.Set(requestIDHeader, id)
	return client.Do(request)
}

func TestCallsAreEchoedAndCounted(t *testing.T) {
	s, client, url := startService(t, Options{})
	response, err := call(t, client, url+"/file/42?a=b", "r1", `{"idempotencyKey":"k1"}`)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got Echo
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := Echo{ID: "r1", Method: "POST", Path: "/file/42", Query: "a=b", Body: `{"idempotencyKey":"k1"}`}
	if got != want || response.Header.Get(requestIDHeader) != "r1" {
		t.Fatalf("echo is %+v, want %+v", got, want)
	}
	record := s.Record()
	if record.ReceivedCounts()["r1"] != 1 || record.ReceivedKeyCounts()["k1"] != 1 {
		t.Fatalf("want one call of r1 with key k1, service recorded %+v", record.Calls)
	}
}

func TestCallFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults CallFaults
		status int
		cut    bool
	}{
		{"fail", CallFaults{FailStatus: 500}, 500, false},
		{"cut", CallFaults{Cut: true}, 0, true},
		{"close reused", CallFaults{CloseReused: true}, 0, true},
		{"crash", CallFaults{Crash: true}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var crashes atomic.Int64
			s, client, url := startService(t, Options{Crash: func() { crashes.Add(1) }})
			first, err := call(t, client, url, "r1", "")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, first.Body)
			_ = first.Body.Close()
			s.SetFaults(Faults{CallFaults: c.faults})
			response, err := call(t, client, url, "r2", "body")
			if err == nil {
				defer func() { _ = response.Body.Close() }()
			}
			if cut := err != nil; cut != c.cut {
				t.Fatalf("connection aborted: %v (%v), want %v", cut, err, c.cut)
			}
			if err == nil && response.StatusCode != c.status {
				t.Fatalf("got status %d", response.StatusCode)
			}
			if crashed := crashes.Load() == 1; crashed != c.faults.Crash {
				t.Fatalf("service crashed %d times", crashes.Load())
			}
			record := s.Record()
			if record.ReceivedCounts()["r2"] != 1 {
				t.Fatalf("want one call of r2, service recorded %+v", record.Calls)
			}
		})
	}
}

func TestLeavingServiceRejectsCalls(t *testing.T) {
	s, client, url := startService(t, Options{})
	s.SetFaults(Faults{Leaving: true})
	response, err := call(t, client, url, "r1", "")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(leavingHeader) != "true" {
		t.Fatalf("got status %d", response.StatusCode)
	}
	if record := s.Record(); len(record.Calls) != 0 || record.Refused["r1"] != 1 {
		t.Fatalf("want no call and one refusal of r1, service recorded %+v", record)
	}
}
