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
	maxResponseDelay = 60 * time.Millisecond
	// events is the number of events in a stream.
	eventsPerStream = 5
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
	leavingSince time.Time
	// departures are the times in which it was leaving, the first of each pair the
	// beginning.
	leavingPeriods [][2]time.Time
}

// entry returns what the target writes to the store.
func (t *target) storeEntry() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.EntryAt(t.link.Address, string(t.dataCentre), t.service, !t.leavingSince.IsZero())
}

// leave says that the target is leaving, or that it is back.
func (t *target) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if leaving {
		t.leavingSince = now
		return
	}
	t.leavingPeriods = append(t.leavingPeriods, [2]time.Time{t.leavingSince, now})
	t.leavingSince = time.Time{}
}

// serve answers a request after a while with its id and path.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r)
	if t.service != platformtest.ModelService {
		if delayResponse(r) {
			_, _ = io.WriteString(w, serviceBody(id, r.URL.Path))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range eventsPerStream {
		if !delayResponse(r) {
			return
		}
		_, _ = io.WriteString(w, streamEvent(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// pause returns false if the caller left meanwhile.
func delayResponse(r *http.Request) bool {
	return periodic.Sleep(r.Context(), time.Duration(rand.Int64N(int64(maxResponseDelay))))
}

// answerTo is the whole answer of a plain service.
func serviceBody(id, path string) string { return id + " " + path }

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id) }

// streamTo is the whole answer of a model.
func streamBody(id string) string {
	whole := ""
	for i := range eventsPerStream {
		whole += streamEvent(id, i)
	}
	return whole
}
