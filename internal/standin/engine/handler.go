package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// Headers of the target protocol.
const (
	requestIDHeader = "X-Request-Id"
	leavingHeader   = "X-Target-Leaving"
)

// Handler serves the target listener.
func (e *Engine) Handler() http.Handler {
	router := standin.NewRouter()
	router.Use(e.thaw)
	router.POST("/v1/chat/completions", e.complete(chatKind))
	router.POST("/v1/completions", e.complete(completionKind))
	router.GET("/v1/streams/:id", e.resume)
	router.POST("/v1/streams/:id/cancel", e.postCancel)
	router.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Load()) })
	return router
}

// thaw holds requests back while the engine is frozen.
func (e *Engine) thaw(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := e.frozen.Wait(c.Request().Context()); err != nil {
			return nil
		}
		return next(c)
	}
}

func (e *Engine) complete(kind kind) echo.HandlerFunc {
	return func(c echo.Context) error {
		reused := standin.CountRequest(c.Request())
		body, err := standin.BufferBody(c.Request())
		if err != nil {
			return badRequest(c, err)
		}
		request, prompt, err := parseRequest(kind, body)
		if err != nil {
			return badRequest(c, err)
		}
		id := c.Request().Header.Get(requestIDHeader)
		if e.refuse(id) {
			return refuseLeaving(c, id)
		}
		run, faults := e.receive(id, kind, request, prompt)
		e.answer(c, run, faults, reused)
		return nil
	}
}

// answer writes the answer of the run as the faults allow.
func (e *Engine) answer(c echo.Context, own *run, faults RequestFaults, reused bool) {
	ctx := c.Request().Context()
	e.attach(own)
	defer e.detach(own, e.grace(own))
	if faults.CloseReused && reused {
		standin.AbortConnection()
	}
	if faults.Hang {
		<-ctx.Done()
		return
	}
	told := own
	if faults.SwapResponses {
		told = e.cross(ctx, own)
		e.attach(told)
		defer e.detach(told, e.grace(told))
	}
	if standin.Sleep(ctx, time.Duration(faults.ResponseDelayMs)*time.Millisecond) != nil {
		return
	}
	writer := &answerWriter{engine: e, run: told, faults: faults, response: c.Response(), ctx: ctx}
	c.Response().Header().Set(requestIDHeader, writer.headerID(own.id))
	if own.request.Stream {
		writer.stream(0)
	} else {
		writer.whole()
	}
}

// grace is how long the run may go on without a reader. A whole answer can't be
// resumed.
func (e *Engine) grace(r *run) time.Duration {
	if !r.request.Stream {
		return 0
	}
	return e.options.ResumeWindow
}

func (e *Engine) resume(c echo.Context) error {
	after, err := strconv.Atoi(c.QueryParam("after"))
	if err != nil || after < 0 {
		return badRequest(c, standin.Error.New("after must be a token offset"))
	}
	run := e.find(c.Param("id"))
	if run == nil || e.refusesResume() {
		return noSuchStream(c)
	}
	e.attach(run)
	defer e.detach(run, e.grace(run))
	if e.progress(run).state == RunCancelled {
		return c.JSON(http.StatusGone, errorBody{errorDetail{Message: "the stream was cancelled", Type: "not_found_error"}})
	}
	c.Response().Header().Set(requestIDHeader, run.id)
	writer := &answerWriter{engine: e, run: run, response: c.Response(), ctx: c.Request().Context()}
	writer.stream(after)
	return nil
}

func (e *Engine) postCancel(c echo.Context) error {
	run := e.find(c.Param("id"))
	if run == nil {
		return noSuchStream(c)
	}
	e.cancel(run)
	return c.NoContent(http.StatusNoContent)
}

func badRequest(c echo.Context, err error) error {
	return c.JSON(http.StatusBadRequest, errorBody{errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
}

func noSuchStream(c echo.Context) error {
	return c.JSON(http.StatusNotFound, errorBody{errorDetail{Message: "no such stream", Type: "not_found_error"}})
}

func refuseLeaving(c echo.Context, id string) error {
	c.Response().Header().Set(leavingHeader, "true")
	c.Response().Header().Set(requestIDHeader, id)
	return c.JSON(http.StatusServiceUnavailable, errorBody{errorDetail{Message: "the target is leaving", Type: "server_error"}})
}
