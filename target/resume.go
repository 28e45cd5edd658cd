package target

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cornelyard/cornelyard/settings"
)

const (
	defaultMaxResumeAttempts = 5

	resumeInitialBackoff = 20 * time.Millisecond
	resumeMaxBackoff     = 500 * time.Millisecond
	// resumeLimit bounds the time for one resume, tries and waits included.
	resumeTimeout = 5 * time.Second

	cancelTimeout = time.Second
)

func canResume(call Call) bool {
	return call.Kind == settings.EnginePool && call.Stream && call.Target.Resumes
}

// resumeHead asks for the answer of a dispatch whose connection broke before
// the answer's head arrived.
func (c *Client) resumeHead(ctx context.Context, call Call) (*Response, error) {
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

// resume reconnects to a run. It starts nothing: it asks the same target for
// the rest of the same run's stream. Its error is a *Failure.
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
	if response.StatusCode != http.StatusOK || !isEventStream(response) {
		return newFailure(FailedConnection, Error.New("the run can't be resumed, status %d", response.StatusCode))
	}
	return c.checkHead(call, response)
}

// Cancel tells an engine that goes on without a reader to stop the run. It is
// an optimization: without it the engine finds out by itself.
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
