package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// maxResponseDelay is the longest delay of a target before a response, or before
	// an event of a stream.
	maxResponseDelay = 60 * time.Millisecond
	eventsPerStream  = 5
)

// target is a fake target behind the fault proxy.
type target struct {
	name       string
	service    string
	dataCentre ident.DataCentre
	fake       *platformtest.Target
	link       *faultproxy.Link
	// statements holds headers that the target adds to each response, or is nil.
	statements atomic.Pointer[http.Header]
	// stormy is set while the target fails most of its runs.
	stormy atomic.Bool
	// faultSpans are the periods in which the target was at fault, other than by a pause or in
	// a storm.
	faultSpans spans

	// breaksStreams is set while it breaks off streams, breakSpans are the periods in which
	// it did.
	breaksStreams atomic.Bool
	breakSpans    spans

	mu sync.Mutex
	// pausedUntil is the end of the current or the last pause of all runs.
	pausedUntil time.Time
	// leavingSince is when the target announced that it is leaving, or zero.
	leavingSince time.Time
	// leavingPeriods are the past periods in which it was leaving, as pairs of start
	// and end.
	leavingPeriods [][2]time.Time
}

// storeEntry returns the target's entry in the store.
func (t *target) storeEntry() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fake.EntryAt(t.link.Address, string(t.dataCentre), t.service, !t.leavingSince.IsZero())
}

// setLeaving marks the target as leaving or as back in service.
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

// serve responds after a delay, with the request's ID and path or with a stream of
// events.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := platformtest.RequestID(r)
	if statements := t.statements.Load(); statements != nil {
		maps.Copy(w.Header(), *statements)
	}
	if t.service != platformtest.ModelService {
		if t.delayResponse(r) {
			_, _ = io.WriteString(w, serviceBody(id, r.URL.Path))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := platformtest.ResumeAfter(r); i < eventsPerStream; i++ {
		if !t.delayResponse(r) {
			return
		}
		t.breakStream(i)
		_, _ = io.WriteString(w, versionComment(t.fake.Version)+streamEvent(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// delayResponse waits for a random delay and for the end of a pause. It returns false if
// the caller disconnects first.
func (t *target) delayResponse(r *http.Request) bool {
	return periodic.Sleep(r.Context(), time.Duration(rand.Int64N(int64(maxResponseDelay)))) && t.awaitPause(r.Context())
}

// serviceBody is the complete response of a plain service.
func serviceBody(id, path string) string { return id + " " + path }

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id) }

// streamBody is the complete response of a model after an event.
func streamBody(id string, after int) string {
	body := ""
	for i := after; i < eventsPerStream; i++ {
		body += streamEvent(id, i)
	}
	return body
}
