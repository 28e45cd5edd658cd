package service

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// HTTP headers of the target protocol.
const (
	requestIDHeader = "X-Request-Id"
	leavingHeader   = "X-Target-Leaving"
)

// wrongID is an ID that no caller uses.
const wrongID = "another-request"

// Handler returns the handler of the target listener.
func (s *Service) Handler() http.Handler {
	router := standin.NewRouter()
	router.Any("/*", s.serveCall)
	return router
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
	if s.rejectIfLeaving(id) {
		c.Response().Header().Set(leavingHeader, "true")
		return c.NoContent(http.StatusServiceUnavailable)
	}
	index, faults, delay := s.recordCall(c.Request(), body)
	if faults.CloseReused && reused {
		standin.AbortConnection()
	}
	if standin.Sleep(ctx, delay) != nil || s.frozen.Wait(ctx) != nil {
		return nil
	}
	s.respond(c, id, body, faults)
	s.markFinished(index)
	return nil
}

func idempotencyKey(body []byte) string {
	var keyed struct {
		Key string `json:"idempotencyKey"`
	}
	if json.Unmarshal(body, &keyed) != nil {
		return ""
	}
	return keyed.Key
}

func (s *Service) respond(c echo.Context, id string, body []byte, faults CallFaults) {
	switch {
	case faults.Crash:
		s.options.Crash()
		standin.AbortConnection()
	case faults.Hang:
		<-c.Request().Context().Done()
		standin.AbortConnection()
	case faults.Cut:
		standin.AbortConnection()
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
		standin.AbortConnection()
	}
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	response.Header().Set(echo.HeaderContentLength, strconv.Itoa(len(data)))
	response.WriteHeader(http.StatusOK)
	if cut {
		_, _ = response.Write(data[:len(data)/2])
		response.Flush()
		standin.AbortConnection()
	}
	_, _ = response.Write(data)
}
