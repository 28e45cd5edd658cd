package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
)

func TestResponseWithNoFinalStatusEndsWithARefusal(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 099 Odd\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", target.HeaderDispatch, r.Header.Get(target.HeaderDispatch))
		_ = conn.Close()
	}))
	t.Cleanup(service.Close)
	f := newFixture(t, nil, settings.Target{Name: "filing-1", Address: service.Listener.Addr().String()})
	response, err := http.DefaultClient.Do(f.request("POST", "/services/filing/read", "x"))
	if err != nil {
		t.Fatalf("the caller got no response: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d, want 502", response.StatusCode)
	}
}
