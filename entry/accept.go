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
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

// acceptor turns a request into a call. Its body is read already.
type acceptor func(in *incoming) (*call, *refusal)

// incoming is a request on its way to become a call.
type incoming struct {
	echo     echo.Context
	id       ident.Request
	snapshot *settings.Snapshot
	identity identity
	arrived  time.Time
	body     []byte
}

// handler serves one kind of request.
func (e *Entry) handler(accept acceptor) echo.HandlerFunc {
	return func(c echo.Context) error {
		in := &incoming{echo: c, id: ident.Request(uuid.NewString()), arrived: time.Now()}
		if e.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return e.receive(in, accept)
	}
}

// receive identifies the caller, finds a place for the request and serves it.
func (e *Entry) receive(in *incoming, accept acceptor) error {
	if r := e.identify(in); r != nil {
		return e.refuse(in, r)
	}
	x := e.newExecution()
	place := &occupant{
		rank:  in.identity.rank,
		state: x.state,
		evict: func() { x.cancel(stopOverloaded()) },
	}
	if !e.occupancy.enter(place) {
		return e.refuse(in, refused(outcome.Refuse(outcome.EntryOverloaded, "this host is full", overloadRetryAfter)))
	}
	e.metrics.held(e.occupancy.held())
	kept, r := e.prepare(in, x, accept)
	if r == nil && kept == nil {
		return e.start(in, x, place)
	}
	e.occupancy.leave(place)
	x.cancel(nil)
	if r != nil {
		return e.refuse(in, r)
	}
	return e.writeKept(in, kept)
}

func (e *Entry) identify(in *incoming) *refusal {
	in.snapshot = e.options.Settings.Current()
	if in.snapshot == nil {
		return notReady()
	}
	var r *outcome.Refusal
	in.identity, r = identify(in.snapshot, in.echo.Request().Header, in.arrived)
	return refused(r)
}

// newExecution gives the call a context that outlives the caller's connection.
func (e *Entry) newExecution() *execution {
	ctx, cancel := context.WithCancelCause(e.stopAll)
	return newExecution(e, ctx, cancel)
}

// prepare makes the request a call. It returns the kept answer of an earlier
// run, if there is one.
func (e *Entry) prepare(in *incoming, x *execution, accept acceptor) (*claim.StoredResponse, *refusal) {
	body, r := e.readBody(in)
	if r != nil {
		return nil, r
	}
	in.body = body
	c, r := accept(in)
	if r != nil {
		return nil, r
	}
	x.setCall(c)
	kept, r := e.findKept(in, x)
	if r != nil || kept != nil {
		return kept, r
	}
	if x.ctx.Err() != nil {
		return nil, x.stoppedBeforeRun()
	}
	return nil, nil
}

// readBody reads the whole body, within the limits on its size and time.
func (e *Entry) readBody(in *incoming) ([]byte, *refusal) {
	c := in.echo
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(earlier(in.identity.deadline, in.arrived.Add(readBodyTimeout)))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, e.options.Limits.MaxBodyBytes)
	body, err := io.ReadAll(limited)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(outcome.TooLarge, "the body exceeds the limit")
	}
	return nil, refuse(outcome.BadRequest, "the body could not be read")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// start runs the call and delivers its answer.
func (e *Entry) start(in *incoming, x *execution, place *occupant) error {
	e.retries.deposit()
	x.record(timeline.Event{Kind: timeline.Accepted, Version: in.snapshot.Version})
	e.executions.Add(1)
	go func() {
		defer e.executions.Done()
		x.run(func() {
			e.occupancy.leave(place)
			e.metrics.held(e.occupancy.held())
		})
	}()
	deadline := time.AfterFunc(time.Until(x.call.identity.deadline), func() { x.abandon(stopDeadline()) })
	defer deadline.Stop()
	return e.deliver(in, x)
}

// refuse answers a request that did not become an execution.
func (e *Entry) refuse(in *incoming, r *refusal) error {
	e.metrics.refused(r.Reason)
	return e.writeRefusal(in.echo, in.id, r)
}
