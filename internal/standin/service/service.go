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

// maxCalls limits the number of recorded calls. Later ones are processed but not
// recorded.
const maxCalls = 200_000

// notRecorded is the index of a call that was not recorded.
const notRecorded = -1

// Service is the stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	options Options
	frozen  standin.Gate

	mu      sync.Mutex
	faults  Faults
	calls   []Call
	refused map[string]int
}

func New(o Options) *Service {
	if o.Crash == nil {
		o.Crash = func() {}
	}
	return &Service{options: o, refused: make(map[string]int)}
}

// Serve serves the target listener and the control listener until ctx is done.
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

// Record returns what the service processed since its start.
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

// recordCall records the call and returns its index in the record, the faults that
// apply to it and its delay.
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
