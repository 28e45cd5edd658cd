package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/target"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxBufferedBytes is the size up to which a response is read in full before it is
	// forwarded, so that a broken one can be retried or reported as an error.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the copy buffer for larger responses.
	copyBufferBytes = 32 << 10
	// maxBatchBytes is the size at which a batch of events is written.
	maxBatchBytes = 32 << 10
	// deliveryGracePeriod is added to the deadline for the delivery of what arrived before.
	deliveryGracePeriod = 200 * time.Millisecond
)

var (
	// errSinkFailed means that writing to the caller failed.
	errSinkFailed = errors.New("the caller takes no more of the answer")
	// errCallerTooSlow means that the caller reads so slowly that the buffer for its response
	// is full.
	errCallerTooSlow = fmt.Errorf("%w: it reads more slowly than its buffer allows", errSinkFailed)
	// errErrorResponse means that the target responded with an error status, which
	// was forwarded to the caller.
	errErrorResponse = errors.New("the target answered with an error")
	// errRetryableResponse means that the target responded with an error status and
	// that the request is retried on another target.
	errRetryableResponse = errors.New("the target answered with an error, another may not")
)

// delivery is the part of the response that was written to the caller.
type delivery struct {
	// headWritten is set once the head was written.
	headWritten bool
	status      int
	bytes       int64
	events      int
	// lastEventID is the ID of the last event, if hasEventIDs reports that it had one.
	lastEventID    uint64
	hasEventIDs    bool
	firstEventTime time.Time
	lastEventTime  time.Time
}

func (x *execution) teamName() ident.Team {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// resumes reports whether the target is asked for the remainder of a stream only.
func (x *execution) resumes() bool { return x.delivery.headWritten || x.call.Resumes }

func (x *execution) resumeAfter() uint64 {
	if x.delivery.headWritten {
		return x.delivery.lastEventID
	}
	return x.call.ResumeAfter
}

// forward writes the response of a run to the caller. It returns nil only if the response
// was complete and its status no server error.
func (x *execution) forward(r *run, response *Response) error {
	if response.Stream {
		return x.forwardStream(r, response)
	}
	if response.Length > maxBufferedBytes {
		return x.forwardUnbuffered(response)
	}
	return x.forwardBuffered(response)
}

// forwardBuffered reads a short response in full before it writes it to the caller, unless
// there is no memory left for it.
func (x *execution) forwardBuffered(response *Response) error {
	reservation := x.relay.options.Budget.Reserve()
	defer reservation.Release()
	body, err := io.ReadAll(reservation.Reader(io.LimitReader(response.Body, maxBufferedBytes)))
	exhausted := errors.Is(err, bytebudget.ErrExhausted)
	if err != nil && !exhausted {
		return brokenError(err)
	}
	if exhausted || len(body) == maxBufferedBytes {
		response.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(body), response.Body), Closer: response.Body}
		return x.forwardUnbuffered(response)
	}
	if errorForStatus(response.Status) != nil && x.mayRetryErrorResponse() {
		return errRetryableResponse
	}
	if err := x.writeHead(response, int64(len(body))); err != nil {
		return err
	}
	if err := x.writeBody(body); err != nil {
		return err
	}
	return errorForStatus(response.Status)
}

// forwardUnbuffered writes a long response to the caller as it arrives. If the caller is slow, a part
// of the rest is read ahead, and the target waits with what follows.
func (x *execution) forwardUnbuffered(response *Response) error {
	if err := x.writeHead(response, response.Length); err != nil {
		return err
	}
	body := newReadAheadBody(response.Body, x.relay.options.Budget.Reserve())
	body.leavesUnread = true
	defer func() { _ = body.Close() }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := body.write(func() error { return x.writeBody(buffer[:n]) }); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return errorForStatus(response.Status)
		}
		if err != nil {
			return streamError(err)
		}
	}
}

// forwardStream writes complete events to the caller. Events that arrived together
// are written together.
func (x *execution) forwardStream(r *run, response *Response) error {
	body := newReadAheadBody(response.Body, x.relay.options.Budget.Reserve())
	defer func() { _ = body.Close() }()
	events := target.NewEventReader(body, maxEventBytes, x.relay.options.Budget)
	defer events.Close()
	continuation := x.continuation(response)
	var batch eventBatch
	for {
		err := batch.read(events, continuation)
		if errors.Is(err, io.EOF) {
			return x.endStream(response, continuation, &batch)
		}
		if err != nil {
			return err
		}
		if batch.count == 0 {
			continue
		}
		if err := x.forwardBatch(r, response, body, &batch); err != nil {
			return err
		}
		batch.reset()
	}
}

// continuation returns the check of a response that goes on with a stream, within a response to
// the caller or after an earlier one. It returns nil for others, such as errors of the target.
func (x *execution) continuation(response *Response) *target.Continuation {
	if !x.delivery.headWritten && !(x.takesUp() && response.Status == http.StatusOK) {
		return nil
	}
	return target.NewContinuation(x.resumeAfter())
}

// streamError returns the error of a response whose next part could not be read. A caller that
// reads too slowly is no failure of the target.
func streamError(err error) error {
	if errors.Is(err, errCallerTooSlow) {
		return err
	}
	return brokenError(err)
}

// endStream completes a stream with the comments after its last event. If the stream had
// no event, it writes the head.
func (x *execution) endStream(response *Response, continuation *target.Continuation, comments *eventBatch) error {
	if !x.delivery.headWritten {
		if err := x.writeHead(response, -1); err != nil {
			return err
		}
	} else if err := continuation.CheckEnd(); err != nil {
		return continuationError(err)
	}
	if err := x.writeBody(comments.raw); err != nil {
		return err
	}
	return errorForStatus(response.Status)
}

func (x *execution) forwardBatch(r *run, response *Response, body *readAheadBody, batch *eventBatch) error {
	begun := x.delivery.headWritten
	if err := x.recordBatch(r, batch); err != nil {
		return err
	}
	if !begun {
		x.recordBegin(r)
	}
	x.relay.options.Dispatcher.recordFirstEvent(r.slot)
	x.relay.options.Dispatcher.recordProgress(r.slot, batch.count)
	if !begun {
		if err := x.writeHead(response, -1); err != nil {
			return err
		}
	}
	x.hedge.pause()
	defer x.hedge.resume()
	return body.write(func() error { return x.writeBody(batch.raw) })
}

// recordBatch records events that are about to be written. It returns errStalled if the
// remainder of the stream comes from another run.
func (x *execution) recordBatch(r *run, batch *eventBatch) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.hedge.recordProgress(); err != nil {
		return err
	}
	if !x.versionKnown {
		x.version, x.versionKnown = r.target.Version, true
		x.versionUnsure = r.versionUnsure && x.relay.options.Dispatcher.mayHaveRestarted(r.target)
	}
	d := &x.delivery
	d.hasEventIDs = batch.hasIDs
	if batch.hasIDs {
		d.lastEventID = batch.lastID
	}
	d.events += batch.count
	d.lastEventTime = time.Now()
	if d.firstEventTime.IsZero() {
		d.firstEventTime = d.lastEventTime
	}
	return nil
}

// writeHead writes the head of the response. It returns errStalled if another run has
// replaced this one.
func (x *execution) writeHead(response *Response, length int64) error {
	if err := x.recordHeadWritten(response.Status); err != nil {
		return err
	}
	if err := x.sink.WriteHead(response.Status, response.Header, length, x.deadline.Add(deliveryGracePeriod)); err != nil {
		return errSinkFailed
	}
	return nil
}

func (x *execution) recordHeadWritten(status int) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.hedge.recordProgress(); err != nil {
		return err
	}
	x.delivery.headWritten = true
	x.delivery.status = status
	return nil
}

func (x *execution) writeBody(p []byte) error {
	x.delivery.bytes += int64(len(p))
	if err := x.sink.Write(p); err != nil {
		return errSinkFailed
	}
	return nil
}

// errorForStatus returns errErrorResponse for a status of 500 or above.
func errorForStatus(status int) error {
	if status >= http.StatusInternalServerError {
		return errErrorResponse
	}
	return nil
}
