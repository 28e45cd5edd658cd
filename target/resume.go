package target

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/internal/httpcheck"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	defaultMaxResumeAttempts = 5

	resumeInitialBackoff = 20 * time.Millisecond
	resumeMaxBackoff     = 500 * time.Millisecond
	// resumeTimeout bounds the time to resume a stream once, including all attempts
	// and backoff delays.
	resumeTimeout = 5 * time.Second

	cancelTimeout = time.Second
)

func canResume(call Call) bool {
	return call.Kind == settings.EnginePool && call.Stream && call.Target.Resumes
}

// resumeFromStart requests the response of a dispatch whose connection broke before the
// response header arrived.
func (c *Client) resumeFromStart(ctx context.Context, call Call) (*Response, error) {
	response, err := c.resume(ctx, call, 0)
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: response.StatusCode,
		Header: responseHeader(response.Header),
		Length: -1,
		Stream: true,
		reader: newStream(ctx, c, call, response.Body),
	}, nil
}

// resume requests the events after the given offset of a dispatch that is already
// running on its target; it does not start the request again. The error is a
// *Failure.
func (c *Client) resume(ctx context.Context, call Call, after uint64) (*http.Response, error) {
	resumeBackoff := backoff.NewExponentialBackOff()
	resumeBackoff.InitialInterval = resumeInitialBackoff
	resumeBackoff.MaxInterval = resumeMaxBackoff
	attempt := func() (*http.Response, error) { return c.resumeOnce(ctx, call, after) }
	response, err := backoff.Retry(ctx, attempt,
		backoff.WithBackOff(resumeBackoff),
		backoff.WithMaxTries(c.options.MaxResumeAttempts),
		backoff.WithMaxElapsedTime(resumeTimeout),
	)
	if err != nil {
		return nil, asFailure(FailedConnection, err)
	}
	return response, nil
}

func (c *Client) resumeOnce(ctx context.Context, call Call, after uint64) (*http.Response, error) {
	resumeCall := Call{
		Target:   call.Target,
		Kind:     call.Kind,
		Dispatch: call.Dispatch,
		Method:   http.MethodGet,
		Path:     streamPath(call.Dispatch),
		Query:    "after=" + strconv.FormatUint(after, 10),
		Latch:    new(SendLatch),
	}
	response, err := c.send(ctx, resumeCall, &sendGate{latch: resumeCall.Latch})
	if httpcheck.Error.Has(err) {
		return nil, backoff.Permanent(err)
	}
	if err != nil {
		return nil, err
	}
	if err := c.checkResumeResponse(call, response); err != nil {
		_ = response.Body.Close()
		return nil, backoff.Permanent(err)
	}
	return response, nil
}

func (c *Client) checkResumeResponse(call Call, response *http.Response) error {
	if err := CheckContinuation(response.StatusCode, isEventStream(response)); err != nil {
		return newFailure(FailedConnection, err)
	}
	return c.checkHeader(call, response)
}

// Cancel instructs an engine to stop generating a response that nobody reads any more.
// It is an optimization: errors are ignored, and without it the engine itself
// detects that the reader is gone.
func (c *Client) Cancel(ctx context.Context, call Call) {
	if !canResume(call) || !call.Latch.IsSet() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	cancelCall := Call{
		Target:   call.Target,
		Kind:     call.Kind,
		Dispatch: call.Dispatch,
		Method:   http.MethodPost,
		Path:     streamPath(call.Dispatch) + "/cancel",
		Latch:    new(SendLatch),
	}
	response, err := c.send(ctx, cancelCall, &sendGate{latch: cancelCall.Latch})
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
