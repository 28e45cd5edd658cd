package service

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// maxCalls bounds the calls that are remembered; later ones are not recorded.
const maxCalls = 200_000

// unrecorded is the place of a call that is not in the record.
const notRecorded = -1

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	options Options
	frozen  standin.Gate

	mu      sync.Mutex
	faults  Faults
	calls   []Call
	refused map[string]int
}

// New returns a service.
func New(o Options) *Service {
	if o.Crash == nil {
		o.Crash = func() {}
	}
	return &Service{options: o, refused: make(map[string]int)}
}

// Serve serves the target listener and the control listener until ctx ends.
func (s *Service) Serve(ctx context.Context, service, control net.Listener) error {
	return standin.Serve(ctx,
		standin.Endpoint{Listener: service, Handler: s.Handler()},
		standin.Endpoint{Listener: control, Handler: s.ControlHandler()},
	)
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.frozen.SetClosed(f.Freeze)
}

// Record returns what the service did since its start.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Calls: slices.Clone(s.calls), Refused: maps.Clone(s.refused)}
}

func (s *Service) rejectIfLeaving(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		s.refused[id]++
	}
	return s.faults.Leaving
}

// receive records the call and returns its place in the record, the faults that
// act on it and how long it takes.
func (s *Service) recordCall(r *http.Request, body []byte) (int, CallFaults, time.Duration) {
	call := Call{
		ID:       r.Header.Get(requestIDHeader),
		Received: time.Now(),
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      idempotencyKey(body),
	}
	s.options.Journal.Append(call.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.options.Delay + time.Duration(s.faults.DelayMs)*time.Millisecond
	if len(s.calls) == maxCalls {
		return notRecorded, s.faults.callFaults(), delay
	}
	s.calls = append(s.calls, call)
	return len(s.calls) - 1, s.faults.callFaults(), delay
}

func (s *Service) markFinished(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index != notRecorded {
		s.calls[index].Finished = true
	}
}
