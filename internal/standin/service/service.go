package service

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// maxCalls bounds the calls that are remembered; later ones are not recorded.
const maxCalls = 200_000

// Headers of the target protocol.
const (
	requestIDHeader = "X-Request-Id"
	leavingHeader   = "X-Target-Leaving"
)

// wrongID is an id that no caller sends.
const wrongID = "another-request"

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
	s.frozen.Set(f.Freeze)
}

// Record returns what the service did since its start.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Calls: slices.Clone(s.calls), Refused: maps.Clone(s.refused)}
}

// Handler serves the target listener.
func (s *Service) Handler() http.Handler {
	router := standin.NewRouter()
	router.Any("/*", s.serveCall)
	return router
}

// ControlHandler serves the control listener.
func (s *Service) ControlHandler() http.Handler {
	router := standin.NewRouter()
	router.POST("/faults", s.postFaults)
	router.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	return router
}

func (s *Service) postFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) serveCall(c echo.Context) error {
	reused := standin.CountRequest(c.Request())
	ctx := c.Request().Context()
	if s.frozen.Wait(ctx) != nil {
		return nil
	}
	body, err := standin.BufferBody(c.Request())
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	id := c.Request().Header.Get(requestIDHeader)
	if s.refuse(id) {
		c.Response().Header().Set(leavingHeader, "true")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	index, faults, delay := s.receive(c.Request(), body)
	if faults.CloseReused && reused {
		standin.CutConnection()
	}
	if standin.Sleep(ctx, delay) != nil || s.frozen.Wait(ctx) != nil {
		return nil
	}
	s.answer(c, id, body, faults)
	s.finish(index)
	return nil
}

func (s *Service) refuse(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving {
		s.refused[id]++
	}
	return s.faults.Leaving
}

// receive records the call and returns its place in the record, the faults that
// act on it and how long it takes.
func (s *Service) receive(r *http.Request, body []byte) (int, CallFaults, time.Duration) {
	call := Call{
		ID:       r.Header.Get(requestIDHeader),
		Received: time.Now(),
		Method:   r.Method,
		Path:     r.URL.Path,
		Key:      keyOf(body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) < maxCalls {
		s.calls = append(s.calls, call)
	}
	delay := s.options.Delay + time.Duration(s.faults.DelayMs)*time.Millisecond
	return len(s.calls) - 1, s.faults.callFaults(), delay
}

func keyOf(body []byte) string {
	var keyed struct {
		Key string `json:"idempotencyKey"`
	}
	if json.Unmarshal(body, &keyed) != nil {
		return ""
	}
	return keyed.Key
}

func (s *Service) finish(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[index].Finished = true
}

func (s *Service) answer(c echo.Context, id string, body []byte, faults CallFaults) {
	switch {
	case faults.Crash:
		s.options.Crash()
		standin.CutConnection()
	case faults.Hang:
		<-c.Request().Context().Done()
		standin.CutConnection()
	case faults.Cut:
		standin.CutConnection()
	}
	if faults.WrongID {
		id = wrongID
	}
	c.Response().Header().Set(requestIDHeader, id)
	if faults.FailStatus != 0 {
		_ = c.NoContent(faults.FailStatus)
		return
	}
	writeEcho(c, Echo{
		ID:     id,
		Method: c.Request().Method,
		Path:   c.Request().URL.Path,
		Query:  c.Request().URL.RawQuery,
		Body:   string(body),
	}, faults.CutInBody)
}

func writeEcho(c echo.Context, answer Echo, cut bool) {
	data, err := json.Marshal(answer)
	if err != nil {
		standin.CutConnection()
	}
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	response.Header().Set(echo.HeaderContentLength, strconv.Itoa(len(data)))
	response.WriteHeader(http.StatusOK)
	if cut {
		_, _ = response.Write(data[:len(data)/2])
		response.Flush()
		standin.CutConnection()
	}
	_, _ = response.Write(data)
}
