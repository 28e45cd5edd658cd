package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// writeTimeout limits one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// delivery writes one response to its caller.
type delivery struct {
	in         *incomingRequest
	x          *execution
	writer     http.ResponseWriter
	controller *http.ResponseController
	// head is nil until it has been written.
	head *responseHead
}

// deliver writes the execution's response until it ends, the caller disconnects or
// the execution detaches from the caller.
func (e *Entry) deliver(in *incomingRequest, x *execution) error {
	writer := in.echo.Response()
	d := &delivery{in: in, x: x, writer: writer, controller: http.NewResponseController(writer)}
	defer x.response.discard()
	var buffer []byte
	for {
		select {
		case <-x.response.readable:
		case <-in.echo.Request().Context().Done():
			x.abandon(stopCallerDisconnected())
			return nil
		case <-x.detached:
			return e.finishDelivery(d, x.detachedRefusal())
		}
		part := x.response.read(buffer[:0])
		buffer = part.bytes
		if !d.write(part) {
			x.abandon(stopCallerDisconnected())
			return nil
		}
		if part.ended {
			return e.finishDelivery(d, part.refusal)
		}
	}
}

// write returns false if the caller has disconnected.
func (d *delivery) write(part responsePart) bool {
	_ = d.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if part.head != nil && d.head == nil {
		d.writeHead(part)
	}
	if len(part.bytes) == 0 {
		return true
	}
	if _, err := d.writer.Write(part.bytes); err != nil {
		return false
	}
	if part.ended && part.refusal == nil {
		return true
	}
	return d.controller.Flush() == nil
}

func (d *delivery) writeHead(part responsePart) {
	d.head = part.head
	header := d.writer.Header()
	for name, values := range part.head.header {
		header[name] = values
	}
	header.Set(headerRequestID, string(d.in.id))
	if part.head.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(part.head.length, 10))
	}
	d.setOutcomeHeaders(header)
	d.writer.WriteHeader(part.head.status)
}

// setOutcomeHeaders sets the outcome header if the outcome is known, else declares
// it as a trailer. A response with a length has no trailer; a body shorter than
// its length shows that it is incomplete.
func (d *delivery) setOutcomeHeaders(header http.Header) {
	if d.head.verified {
		header.Set(headerOutcome, string(outcome.Completed))
		return
	}
	if d.head.length < 0 {
		header.Add("Trailer", headerOutcome)
		header.Add("Trailer", headerReason)
	}
}

// finishDelivery reports the outcome. If the head has been written and the body
// cannot carry an error event, it aborts the connection so that the caller
// detects the incomplete response.
func (e *Entry) finishDelivery(d *delivery, r *refusal) error {
	if d.head == nil && r != nil {
		return e.writeRefusal(d.in.echo, d.in.id, r)
	}
	if r == nil {
		d.setTrailer(string(outcome.Completed), "")
		return nil
	}
	if !d.head.stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = d.writer.Write(errorEvent(r, string(d.in.id)))
	d.setTrailer(string(r.Outcome), string(r.Reason))
	return nil
}

// setTrailer sets the outcome trailers, if the head declared them.
func (d *delivery) setTrailer(result, reason string) {
	header := d.writer.Header()
	if header.Get("Trailer") == "" {
		return
	}
	header.Set(headerOutcome, result)
	header.Set(headerReason, reason)
}
