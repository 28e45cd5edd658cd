package target

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cornelyard/cornelyard/settings"
)

// scriptedEngine responds to the first request with the first script, to the first
// resume with the second, and so on. If a script does not contain the
// end-of-stream marker, the connection is aborted after it. In scripts, ID stands
// for the dispatch ID.
type scriptedEngine struct {
	server  *httptest.Server
	scripts []string

	mu       sync.Mutex
	requests []string
}

func newScriptedEngine(t *testing.T, scripts ...string) *scriptedEngine {
	t.Helper()
	e := &scriptedEngine{scripts: scripts}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	script := e.next(r)
	id := r.Header.Get(HeaderDispatch)
	if script == "" {
		w.Header().Set(HeaderDispatch, id)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(HeaderDispatch, id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, strings.ReplaceAll(script, "ID", id))
	if !strings.Contains(script, doneData) {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// next records a request and returns its script, or an empty string if no script
// is left.
func (e *scriptedEngine) next(r *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, r.Method+" "+r.RequestURI)
	if len(e.requests) > len(e.scripts) {
		return ""
	}
	return e.scripts[len(e.requests)-1]
}

func (e *scriptedEngine) requestLines() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.requests...)
}

func (e *scriptedEngine) call() Call {
	return Call{
		Target: settings.Target{
			Name:     "engine-1",
			Address:  e.server.Listener.Addr().String(),
			EchoesID: true,
			Resumes:  true,
		},
		Kind:     settings.EnginePool,
		Request:  "r-1",
		Dispatch: "d-1",
		Method:   http.MethodPost,
		Path:     "/v1/chat/completions",
		Body:     []byte(`{}`),
		Stream:   true,
		Latch:    new(SendLatch),
	}
}

// tokenEvent returns the event of token n.
func tokenEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-ID\",\"choices\":[{\"delta\":{\"content\":\"w%d \"}}]}\n\n", n, n)
}

// roleEvent returns the event before the first token.
func roleEvent() string {
	return "id: 0\ndata: {\"id\":\"chatcmpl-ID\",\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
}

// finishEvent returns the event with the finish reason, which follows token n.
func finishEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-ID\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", n)
}

// endOfStream returns the finish event and the end-of-stream marker.
func endOfStream(n int) string {
	return finishEvent(n) + fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n)
}

func tokenEvents(from, to int) string {
	var s strings.Builder
	for n := from; n <= to; n++ {
		s.WriteString(tokenEvent(n))
	}
	return s.String()
}
