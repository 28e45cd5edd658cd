package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/internal/standin"
)

// HTTP headers of the target protocol.
const (
	requestIDHeader = "X-Request-Id"
	leavingHeader   = "X-Target-Leaving"
)

// Handler returns the handler of the target listener.
func (e *Engine) Handler() http.Handler {
	router := standin.NewRouter()
	router.Use(e.waitWhileFrozen)
	router.POST("/v1/chat/completions", e.complete(chatKind))
	router.POST("/v1/completions", e.complete(completionKind))
	router.GET("/v1/streams/:id", e.resume)
	router.POST("/v1/streams/:id/cancel", e.postCancel)
	router.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Load()) })
	return router
}

// waitWhileFrozen delays requests while the engine is frozen.
func (e *Engine) waitWhileFrozen(next echo.HandlerFunc) echo.HandlerFunc {
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
		if e.rejectIfLeaving(id) {
			return leavingResponse(c, id)
		}
		run, faults := e.receive(id, kind, request, prompt)
		e.respond(c, run, faults, reused)
		return nil
	}
}

// respond writes the response of the run, modified by the faults.
func (e *Engine) respond(c echo.Context, ownRun *run, faults RequestFaults, reused bool) {
	ctx := c.Request().Context()
	e.attach(ownRun)
	defer e.detach(ownRun, e.resumeWindow(ownRun))
	if faults.CloseReused && reused {
		standin.AbortConnection()
	}
	if faults.Hang {
		<-ctx.Done()
		return
	}
	responseRun := ownRun
	if faults.SwapResponses {
		responseRun = e.swapResponses(ctx, ownRun)
		e.attach(responseRun)
		defer e.detach(responseRun, e.resumeWindow(responseRun))
	}
	if standin.Sleep(ctx, time.Duration(faults.ResponseDelayMs)*time.Millisecond) != nil {
		return
	}
	writer := &responseWriter{engine: e, run: responseRun, faults: faults, response: c.Response(), ctx: ctx}
	c.Response().Header().Set(requestIDHeader, writer.responseID(ownRun.id))
	if ownRun.request.Stream {
		writer.writeStream(0)
	} else {
		writer.writeComplete()
	}
}

// resumeWindow returns how long the run continues without a reader. A response that is
// not streamed cannot be resumed.
func (e *Engine) resumeWindow(r *run) time.Duration {
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
		return streamNotFound(c)
	}
	e.attach(run)
	defer e.detach(run, e.resumeWindow(run))
	if e.progress(run).state == RunCancelled {
		return c.JSON(http.StatusGone, errorBody{errorDetail{Message: "the stream was cancelled", Type: "not_found_error"}})
	}
	c.Response().Header().Set(requestIDHeader, run.id)
	writer := &responseWriter{engine: e, run: run, response: c.Response(), ctx: c.Request().Context()}
	writer.writeStream(after)
	return nil
}

func (e *Engine) postCancel(c echo.Context) error {
	run := e.find(c.Param("id"))
	if run == nil {
		return streamNotFound(c)
	}
	e.cancel(run)
	return c.NoContent(http.StatusNoContent)
}

func badRequest(c echo.Context, err error) error {
	return c.JSON(http.StatusBadRequest, errorBody{errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
}

func streamNotFound(c echo.Context) error {
	return c.JSON(http.StatusNotFound, errorBody{errorDetail{Message: "no such stream", Type: "not_found_error"}})
}

func leavingResponse(c echo.Context, id string) error {
	c.Response().Header().Set(leavingHeader, "true")
	c.Response().Header().Set(requestIDHeader, id)
	return c.JSON(http.StatusServiceUnavailable, errorBody{errorDetail{Message: "the target is leaving", Type: "server_error"}})
}
