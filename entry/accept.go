package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/timeline"
)

// acceptFunc builds a call from a request whose body has been read.
type acceptFunc func(in *incomingRequest) (*call, *refusal)

// handler returns the handler for requests that accept parses.
func (e *Entry) handler(accept acceptFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		in := &incomingRequest{echo: c, id: ident.Request(uuid.NewString()), arrived: time.Now()}
		if e.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return e.receive(in, accept)
	}
}

// receive authenticates the caller, counts the request against the in-flight
// limit and serves it.
func (e *Entry) receive(in *incomingRequest, accept acceptFunc) error {
	if r := e.identify(in); r != nil {
		return e.refuse(in, r)
	}
	x := e.newExecution()
	request := &inFlightRequest{
		rank:  in.identity.rank,
		state: x.state,
		evict: func() { x.cancel(stopOverloaded()) },
	}
	if !e.inFlight.acquire(request) {
		return e.refuse(in, wrapRefusal(outcome.Refuse(outcome.EntryOverloaded, "this host is full", overloadRetryAfter)))
	}
	e.metrics.setInFlight(e.inFlight.size())
	stored, r := e.prepare(in, x, accept)
	if r == nil && stored == nil {
		return e.runAndDeliver(in, x, request)
	}
	e.inFlight.release(request)
	x.cancel(nil)
	if r != nil {
		return e.refuse(in, r)
	}
	return e.writeStoredResponse(in, stored)
}

func (e *Entry) identify(in *incomingRequest) *refusal {
	in.snapshot = e.options.Settings.Current()
	if in.snapshot == nil {
		return notReady()
	}
	var r *outcome.Refusal
	in.identity, r = identify(in.snapshot, in.echo.Request().Header, in.arrived)
	return wrapRefusal(r)
}

// newExecution returns an execution whose context does not end with the caller's
// connection.
func (e *Entry) newExecution() *execution {
	ctx, cancel := context.WithCancelCause(e.baseContext)
	return newExecution(e, ctx, cancel)
}

// prepare reads and validates the request and sets the execution's call. It
// returns the stored response if the request repeats a completed one.
func (e *Entry) prepare(in *incomingRequest, x *execution, accept acceptFunc) (*claim.StoredResponse, *refusal) {
	body, r := e.readBody(x.ctx, in)
	if r != nil && x.ctx.Err() != nil {
		return nil, x.stoppedBeforeRun()
	}
	if r != nil {
		return nil, r
	}
	in.body = body
	c, r := accept(in)
	if r != nil {
		return nil, r
	}
	x.setCall(c)
	stored, r := e.findStoredResponse(in, x)
	if r != nil || stored != nil {
		return stored, r
	}
	if x.ctx.Err() != nil {
		return nil, x.stoppedBeforeRun()
	}
	return nil, nil
}

// readBody reads the body, within the limits on size and time, until ctx is done.
func (e *Entry) readBody(ctx context.Context, in *incomingRequest) ([]byte, *refusal) {
	c := in.echo
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(earlierOf(in.identity.deadline, in.arrived.Add(readBodyTimeout)))
	stop := context.AfterFunc(ctx, func() { _ = controller.SetReadDeadline(time.Now()) })
	defer func() {
		// Nothing more is to be read of a connection whose request was stopped.
		if stop() {
			_ = controller.SetReadDeadline(time.Time{})
		}
	}()
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, e.options.Limits.MaxBodyBytes)
	body, err := io.ReadAll(limited)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newRefusal(outcome.TooLarge, "the body exceeds the limit")
	}
	return nil, newRefusal(outcome.BadRequest, "the body could not be read")
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// runAndDeliver starts the execution and writes its response to the caller. The
// execution may outlive the caller's connection.
func (e *Entry) runAndDeliver(in *incomingRequest, x *execution, request *inFlightRequest) error {
	e.retries.recordRequest()
	x.record(timeline.Event{Kind: timeline.Accepted, Version: in.snapshot.Version})
	e.executions.Add(1)
	go func() {
		defer e.executions.Done()
		x.run(func() {
			e.inFlight.release(request)
			e.metrics.setInFlight(e.inFlight.size())
		})
	}()
	deadlineTimer := time.AfterFunc(time.Until(x.call.identity.deadline), func() { x.abandon(stopDeadline()) })
	defer deadlineTimer.Stop()
	return e.deliver(in, x)
}

// refuse responds to a request that was not executed.
func (e *Entry) refuse(in *incomingRequest, r *refusal) error {
	e.metrics.recordRefused(r.Reason)
	return e.writeRefusal(in.echo, in.id, r)
}
