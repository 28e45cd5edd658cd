package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/target"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// wholeBytes is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be repeated or told as an error.
	wholeBytes = 256 << 10
	// chunkBytes is the size of the buffer for larger answers.
	chunkBytes = 32 << 10
	// batchBytes bounds the events that are written at once.
	batchBytes = 32 << 10
)

var (
	// errSinkFailed says that the caller takes no more of the answer.
	errSinkFailed = errors.New("the caller takes no more of the answer")
	// errTargetFailed says that the target answered with an error of its own,
	// which was passed on.
	errTargetFailed = errors.New("the target answered with an error")
	// errRepeatable says that the target answered with an error of its own, which
	// another target may not.
	errRepeatable = errors.New("the target answered with an error, another may not")
)

// relayed is what the caller has of the answer.
type relayed struct {
	// begun says that the head was written.
	begun  bool
	status int
	bytes  int64
	events int
	// lastEvent is the id of the last event, if numbered says that all had one.
	lastEvent uint64
	numbered  bool
	firstAt   time.Time
}

func (x *execution) teamName() ident.Team {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// resumes says whether the target is asked for the rest of a stream only.
func (x *execution) resumes() bool { return x.relayed.begun || x.call.Resumes }

func (x *execution) resumeAfter() uint64 {
	if x.relayed.begun {
		return x.relayed.lastEvent
	}
	return x.call.ResumeAfter
}

// pass hands the answer to the caller. It returns nil only if the answer was whole
// and a success.
func (x *execution) pass(answer *Response) error {
	if answer.Stream {
		return x.passStream(answer)
	}
	if x.relayed.begun {
		return &DispatchError{Result: brokenResult(answer.Status), Sent: true, Err: errors.New("a resumed stream is answered with no stream")}
	}
	if answer.Length > wholeBytes {
		return x.passLarge(answer)
	}
	return x.passWhole(answer)
}

// passWhole reads a short answer to its end before it passes it on.
func (x *execution) passWhole(answer *Response) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes))
	if err != nil {
		return broken(err)
	}
	if len(body) == wholeBytes {
		answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), answer.Body))
		return x.passLarge(answer)
	}
	if statusError(answer.Status) != nil && x.mayRepeatError() {
		return errRepeatable
	}
	if err := x.begin(answer, int64(len(body))); err != nil {
		return err
	}
	if err := x.write(body); err != nil {
		return err
	}
	return statusError(answer.Status)
}

// passLarge passes a long answer on as it arrives.
func (x *execution) passLarge(answer *Response) error {
	if err := x.begin(answer, answer.Length); err != nil {
		return err
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if err := x.write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return statusError(answer.Status)
		}
		if err != nil {
			return broken(err)
		}
	}
}

// passStream passes events on, those that arrived together in one write.
func (x *execution) passStream(answer *Response) error {
	events := target.NewEvents(answer.Body, maxEventBytes)
	var batch []byte
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return x.endStream(answer)
		}
		if err != nil {
			return broken(err)
		}
		batch = append(batch, event.Raw...)
		count := 1
		x.noteEvent(event)
		for len(batch) < batchBytes && events.Ready() {
			if event, err = events.Next(); err != nil {
				return broken(err)
			}
			batch = append(batch, event.Raw...)
			x.noteEvent(event)
			count++
		}
		if err := x.passBatch(answer, batch, count); err != nil {
			return err
		}
		batch = batch[:0]
	}
}

// endStream passes on the head of a stream that has no event.
func (x *execution) endStream(answer *Response) error {
	if !x.relayed.begun {
		if err := x.begin(answer, -1); err != nil {
			return err
		}
	}
	return statusError(answer.Status)
}

func (x *execution) noteEvent(event target.Event) {
	x.relayed.numbered = event.HasID
	if event.HasID {
		x.relayed.lastEvent = event.ID
	}
}

func (x *execution) passBatch(answer *Response, batch []byte, count int) error {
	x.watchdog.progress()
	if x.relayed.firstAt.IsZero() {
		x.relayed.firstAt = time.Now()
	}
	x.relay.options.Dispatcher.firstEvent(x.id)
	x.relay.options.Dispatcher.progress(x.id, count)
	x.relayed.events += count
	if !x.relayed.begun {
		if err := x.begin(answer, -1); err != nil {
			return err
		}
	}
	return x.write(batch)
}

func (x *execution) begin(answer *Response, length int64) error {
	x.relayed.begun = true
	x.relayed.status = answer.Status
	if err := x.sink.WriteHead(answer.Status, answer.Header, length); err != nil {
		return errSinkFailed
	}
	return nil
}

func (x *execution) write(p []byte) error {
	x.relayed.bytes += int64(len(p))
	if err := x.sink.Write(p); err != nil {
		return errSinkFailed
	}
	return nil
}

// statusError returns errTargetFailed for a server's error that was passed on.
func statusError(status int) error {
	if status >= http.StatusInternalServerError {
		return errTargetFailed
	}
	return nil
}
