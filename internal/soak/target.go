package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// longestAnswer is the longest time that a target takes for an answer, or
	// between two events.
	longestAnswer = 60 * time.Millisecond
	// events is the number of events in a stream.
	events = 5
)

// target is a stand-in of one replica behind the fault proxy.
type target struct {
	name       string
	service    string
	dataCentre ident.DataCentre
	replica    *platformtest.Replica
	link       *faultproxy.Link

	mu sync.Mutex
	// leftAt is when it said that it is leaving, or zero.
	leftAt time.Time
	// departures are the times in which it was leaving, the first of each pair the
	// beginning.
	departures [][2]time.Time
}

// entry returns what the target writes to the store.
func (t *target) entry() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.EntryAt(t.link.Address, string(t.dataCentre), t.service, !t.leftAt.IsZero())
}

// leave says that the target is leaving, or that it is back.
func (t *target) leave(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if leaving {
		t.leftAt = now
		return
	}
	t.departures = append(t.departures, [2]time.Time{t.leftAt, now})
	t.leftAt = time.Time{}
}

// serve answers a request after a while with its id and path.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r)
	if t.service != platformtest.ModelService {
		if pause(r) {
			_, _ = io.WriteString(w, answerTo(id, r.URL.Path))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if !pause(r) {
			return
		}
		_, _ = io.WriteString(w, event(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// pause returns false if the caller left meanwhile.
func pause(r *http.Request) bool {
	return periodic.Sleep(r.Context(), time.Duration(rand.Int64N(int64(longestAnswer))))
}

// answerTo is the whole answer of a plain service.
func answerTo(id, path string) string { return id + " " + path }

func event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id) }

// streamTo is the whole answer of a model.
func streamTo(id string) string {
	whole := ""
	for i := range events {
		whole += event(id, i)
	}
	return whole
}
