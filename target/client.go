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
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/internal/httpcheck"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	defaultDialTimeout      = 2 * time.Second
	defaultMaxBufferedBytes = 32 << 20
	defaultMaxEventBytes    = 1 << 20
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	Recorder timeline.Recorder
	Logger   *log.Logger
	// DialTimeout is the limit for establishing a connection.
	DialTimeout time.Duration
	// MaxBufferedBytes is the maximum body size of an engine response that is not
	// streamed.
	MaxBufferedBytes int64
	// MaxEventBytes is the maximum size of one event of a stream, and of what may precede
	// it without being an event, such as comments.
	MaxEventBytes int
	// Budget bounds the sum of the bytes that all responses buffer; nil means no limit.
	Budget *bytebudget.Budget
	// MaxResumeAttempts is the maximum number of attempts to resume a stream after
	// one interruption.
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
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.MaxEventBytes == 0 {
		o.MaxEventBytes = defaultMaxEventBytes
	}
	if o.MaxResumeAttempts == 0 {
		o.MaxResumeAttempts = defaultMaxResumeAttempts
	}
	return &Client{options: o, transport: NewTransport(TransportOptions{DialTimeout: o.DialTimeout})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.Close() }

// Do dispatches the call and returns when the header of the response has arrived.
// The error is a *Failure. If the call's latch can still be cancelled after an
// error, no byte was sent.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	response, err := c.dispatch(ctx, call)
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (c *Client) dispatch(ctx context.Context, call Call) (*Response, error) {
	g := &sendGate{latch: call.Latch, notAfter: call.NotAfter, onSend: call.OnSend}
	httpResponse, err := c.send(ctx, call, g)
	if err == nil && isDraining(httpResponse) {
		g.retire()
	}
	if err == nil {
		return c.readResponse(ctx, call, httpResponse)
	}
	if call.Latch.Cancel() {
		return nil, newFailure(unsentFailureKind(g), err)
	}
	if httpcheck.Error.Has(err) {
		return nil, newFailure(FailedProtocol, err)
	}
	if !canResume(call) {
		return nil, newFailure(FailedConnection, err)
	}
	return c.resumeFromStart(ctx, call)
}

func unsentFailureKind(g *sendGate) FailureKind {
	if g.expired.Load() {
		return FailedExpired
	}
	return FailedDial
}

func (c *Client) send(ctx context.Context, call Call, g *sendGate) (*http.Response, error) {
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
		Header: requestHeader(call.Header, call.Dispatch, call.Kind),
	}
	setBody(request, call.Body)
	return request.WithContext(ctx), nil
}

func requestURL(call Call) (*url.URL, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, Error.New("request path does not begin with a slash")
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

// readResponse validates the header of a response and selects the reader for its body.
func (c *Client) readResponse(ctx context.Context, call Call, httpResponse *http.Response) (*Response, error) {
	if err := c.checkHeader(call, httpResponse); err != nil {
		_ = httpResponse.Body.Close()
		return nil, err
	}
	response := &Response{
		Status: httpResponse.StatusCode,
		Header: responseHeader(httpResponse.Header),
		Length: httpResponse.ContentLength,
	}
	reader, err := c.newChunkReader(ctx, call, httpResponse)
	if err != nil {
		_ = httpResponse.Body.Close()
		return nil, err
	}
	response.reader = reader
	switch reader := reader.(type) {
	case *stream:
		response.Stream = true
		response.Length = -1
	case *bufferedBody:
		response.Buffered = true
		response.Length = int64(len(reader.chunk.Bytes))
	}
	return response, nil
}

func (c *Client) checkHeader(call Call, httpResponse *http.Response) error {
	if call.Target.EchoesID && httpResponse.Header.Get(HeaderDispatch) != string(call.Dispatch) {
		c.recordRejected(call, "head")
		return newFailure(FailedIDMismatch, Error.New("response header carries another dispatch ID or none"))
	}
	if isDraining(httpResponse) {
		return newFailure(FailedDraining, Error.New("target is draining and refuses new requests"))
	}
	if call.Kind == settings.EnginePool && httpResponse.StatusCode >= http.StatusInternalServerError {
		return newFailure(FailedStatus, Error.New("engine responded with status %d", httpResponse.StatusCode))
	}
	return nil
}

func isDraining(httpResponse *http.Response) bool {
	return httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(HeaderDraining) == "true"
}

func (c *Client) newChunkReader(ctx context.Context, call Call, httpResponse *http.Response) (chunkReader, error) {
	if call.Kind == settings.ServicePool {
		return newServiceBody(call, httpResponse)
	}
	if isEventStream(httpResponse) {
		return newStream(ctx, c, call, httpResponse.Body), nil
	}
	return c.readBuffered(call, httpResponse)
}

func isEventStream(httpResponse *http.Response) bool {
	return strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream")
}

// recordRejected records and logs that a response, or a part of one, was discarded
// because it belongs to another dispatch.
func (c *Client) recordRejected(call Call, part string) {
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
		Msg("Response discarded: it carries another dispatch ID or none")
}

// matchesDispatch reports whether an ID in an engine's response is the ID of the
// dispatch. Engines may prefix it with the kind of the object.
func matchesDispatch(id string, dispatch ident.Dispatch) bool {
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
	return newFailure(kind, err)
}
