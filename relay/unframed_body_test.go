package relay

import (
	"context"
	"io"
	"testing"

	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/target"
)

// unframed makes the response of a target end with its connection.
func unframed(behavior targetBehavior) targetBehavior {
	return func(ctx context.Context, d Dispatch) (*Response, error) {
		response, err := behavior(ctx, d)
		if err == nil {
			response.Unframed, response.Length = true, -1
		}
		return response, err
	}
}

func TestUnframedResponseOfCrashedTargetIsNotComplete(t *testing.T) {
	for name, behavior := range map[string]targetBehavior{
		"body":   respond(200, "half"),
		"stream": respondStream("id: 1\ndata: x\n\n", io.EOF),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route.Route{Kind: route.NonIdempotent}, unframed(behavior))
			f.client.probe = target.ProbeRefused
			result, sink := f.call(context.Background(), nil)
			if result.Refused == nil && !result.Truncated {
				t.Errorf("got status %d and no sign that the response is cut", sink.status)
			}
			if result.Refused != nil && result.Refused.Outcome == outcome.NotRun {
				t.Error("the refusal says that the request has not run")
			}
		})
	}
}

func TestUnframedResponseOfRunningTargetIsComplete(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.NonIdempotent}, unframed(respond(200, "whole")))
	result, sink := f.call(context.Background(), nil)
	if result.Refused != nil || result.Truncated || sink.body.String() != "whole" {
		t.Errorf("got %+v and body %q, want the whole body", result, sink.body.String())
	}
}
