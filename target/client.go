package target

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	defaultDialTimeout   = 2 * time.Second
	defaultMaxWholeBytes = 32 << 20
	defaultMaxFrameBytes = 1 << 20
)

// Options configures a Client. Zero values mean the defaults.
type Options struct {
	Recorder timeline.Recorder
	Logger   *log.Logger
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// MaxBufferedBytes bounds an engine's answer that is not streamed.
	MaxBufferedBytes int64
	// MaxEventBytes bounds one frame of a stream.
	MaxEventBytes int
	// MaxResumeAttempts bounds the attempts to continue a stream after one cut.
	MaxResumeAttempts uint
}

// Client dispatches calls to targets. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *Transport
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxWholeBytes
	}
	if o.MaxEventBytes == 0 {
		o.MaxEventBytes = defaultMaxFrameBytes
	}
	if o.MaxResumeAttempts == 0 {
		o.MaxResumeAttempts = defaultResumeTries
	}
	return &Client{options: o, transport: NewTransport(TransportOptions{DialTimeout: o.DialTimeout})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Do dispatches the call and returns when the head of the answer has arrived.
// The error is a *Failure. If the call's latch can still be barred after an
// error, no byte has left.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	answer, err := c.dispatch(ctx, call)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (c *Client) dispatch(ctx context.Context, call Call) (*Response, error) {
	g := &gate{latch: call.Latch, notAfter: call.NotAfter, begun: call.OnSend}
	response, err := c.send(ctx, call, g)
	if err == nil && isLeaving(response) {
		g.retire()
	}
	if err == nil {
		return c.read(ctx, call, response)
	}
	if call.Latch.Cancel() {
		return nil, fail(unsentKind(g), err)
	}
	if !canResume(call) {
		return nil, fail(FailedConnection, err)
	}
	return c.resumeHead(ctx, call)
}

func unsentKind(g *gate) FailureKind {
	if g.expired.Load() {
		return FailedExpired
	}
	return FailedDial
}

func (c *Client) send(ctx context.Context, call Call, g *gate) (*http.Response, error) {
	request, err := newRequest(ctx, call)
	if err != nil {
		return nil, err
	}
	return c.transport.send(request, g, call.NonIdempotent)
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	address, err := requestURL(call)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: call.Method,
		URL:    address,
		Host:   call.Target.Address,
		Header: outgoingHeader(call.Header, call.Dispatch, call.Kind),
	}
	setBody(request, call.Body)
	return request.WithContext(ctx), nil
}

func requestURL(call Call) (*url.URL, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, Error.New("the path doesn't begin with a slash")
	}
	path, err := url.PathUnescape(call.Path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &url.URL{
		Scheme:   "http",
		Host:     call.Target.Address,
		Path:     path,
		RawPath:  call.Path,
		RawQuery: call.Query,
	}, nil
}

// read checks the head of an answer and picks the way to read its body.
func (c *Client) read(ctx context.Context, call Call, response *http.Response) (*Response, error) {
	if err := c.checkHead(call, response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	answer := &Response{
		Status: response.StatusCode,
		Header: answerHeader(response.Header),
		Length: response.ContentLength,
	}
	source, err := c.newSource(ctx, call, response)
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	answer.source = source
	switch source := source.(type) {
	case *stream:
		answer.Stream = true
		answer.Length = -1
	case *whole:
		answer.Buffered = true
		answer.Length = int64(len(source.chunk.Bytes))
	}
	return answer, nil
}

func (c *Client) checkHead(call Call, response *http.Response) error {
	if call.Target.EchoesID && response.Header.Get(HeaderDispatch) != string(call.Dispatch) {
		c.reject(call, "head")
		return fail(FailedIDMismatch, Error.New("the answer's head has another dispatch id"))
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return fail(FailedProtocol, Error.New("the target switched protocols"))
	}
	if isLeaving(response) {
		return fail(FailedLeaving, Error.New("the target refuses new work"))
	}
	if call.Kind == settings.EnginePool && response.StatusCode >= http.StatusInternalServerError {
		return fail(FailedStatus, Error.New("the engine answered with status %d", response.StatusCode))
	}
	return nil
}

func isLeaving(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderLeaving) == "true"
}

func (c *Client) newSource(ctx context.Context, call Call, response *http.Response) (chunkSource, error) {
	if call.Kind == settings.ServicePool {
		return newRaw(call, response)
	}
	if isEventStream(response) {
		return newStream(ctx, c, call, response.Body), nil
	}
	return c.readWhole(call, response)
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// reject records an answer that belongs to another dispatch.
func (c *Client) reject(call Call, part string) {
	c.options.Recorder.Record(timeline.Event{
		Kind:     timeline.AnswerRejected,
		Request:  call.Request,
		Dispatch: call.Dispatch,
		Target:   call.Target.Name,
		Detail:   part,
	})
	if c.options.Logger == nil {
		return
	}
	c.options.Logger.Warn().Str("request", string(call.Request)).Str("target", string(call.Target.Name)).
		Msg("Answer with another dispatch id dropped")
}

// ownID reports whether an engine's id names the dispatch. Engines may put the
// kind of the object in front.
func ownID(id string, dispatch ident.Dispatch) bool {
	switch id {
	case string(dispatch), "chatcmpl-" + string(dispatch), "cmpl-" + string(dispatch):
		return true
	default:
		return false
	}
}

func asFailure(kind FailureKind, err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return fail(kind, err)
}
