package target

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// drainTimeout bounds the wait for the end of a body after its last event. The
	// body is read to its end so that the connection can be reused.
	drainTimeout = 100 * time.Millisecond
	// maxResumes is the maximum number of times that a stream is resumed.
	maxResumes = 16
)

// stream reads an engine's response that consists of server-sent events.
type stream struct {
	ctx    context.Context
	client *Client
	call   Call

	body        io.ReadCloser
	events      *sseReader
	sequence    eventSequence
	resumeCount int
	done        bool
}

func newStream(ctx context.Context, c *Client, call Call, body io.ReadCloser) *stream {
	s := &stream{ctx: ctx, client: c, call: call}
	s.attachBody(body)
	return s
}

func (s *stream) attachBody(body io.ReadCloser) {
	s.body = body
	s.events = newSSEReader(body, s.client.options.MaxEventBytes, s.client.options.Budget)
}

func (s *stream) close() {
	s.events.close()
	_ = s.body.Close()
}

func (s *stream) next() (Chunk, error) {
	if s.done {
		s.drain()
		return Chunk{}, io.EOF
	}
	for {
		e, err := s.events.next()
		if err != nil {
			if err := s.recover(err); err != nil {
				return Chunk{}, err
			}
			continue
		}
		chunk, ok, err := s.toChunk(e)
		if err != nil || ok {
			return chunk, err
		}
	}
}

// recover resumes an interrupted stream.
func (s *stream) recover(cause error) error {
	if failure := asFailure(FailedConnection, cause); failure.Kind != FailedConnection {
		return failure
	}
	after, ok := s.sequence.resumeOffset()
	if !ok || !canResume(s.call) || s.resumeCount >= maxResumes {
		return newFailure(FailedConnection, cause)
	}
	s.resumeCount++
	response, err := s.client.resume(s.ctx, s.call, after)
	if err != nil {
		return err
	}
	s.close()
	s.attachBody(response.Body)
	s.sequence.markResumed()
	s.recordResume()
	return nil
}

func (s *stream) recordResume() {
	s.client.options.Recorder.Record(timeline.Event{
		Kind:     timeline.Resumed,
		Request:  s.call.Request,
		Dispatch: s.call.Dispatch,
		Target:   s.call.Target.Name,
	})
}

// toChunk validates an event and returns it as a chunk. It returns false if the
// event is not to be delivered.
func (s *stream) toChunk(e *sseEvent) (Chunk, bool, error) {
	if len(e.data) == 0 {
		return Chunk{}, false, nil
	}
	message, err := s.parse(e)
	if err != nil {
		return Chunk{}, false, err
	}
	switch s.sequence.classify(e, message) {
	case dispositionDuplicate:
		return Chunk{}, false, nil
	case dispositionGap:
		return Chunk{}, false, newFailure(FailedProtocol, Error.New("events are missing from the stream"))
	case dispositionInvalid:
		return Chunk{}, false, newFailure(FailedProtocol, Error.New("event IDs of the stream are inconsistent"))
	}
	s.done = e.isDone()
	return newEventChunk(e, message), true, nil
}

func newEventChunk(e *sseEvent, message *engineMessage) Chunk {
	chunk := Chunk{Bytes: e.raw, Usage: message.Usage}
	if message.hasToken() {
		chunk.Tokens = 1
	}
	return chunk
}

// parse decodes an event's JSON and checks that it belongs to the dispatch.
func (s *stream) parse(e *sseEvent) (*engineMessage, error) {
	message := new(engineMessage)
	if e.isDone() {
		return message, nil
	}
	if err := json.Unmarshal(e.data, message); err != nil {
		return nil, newFailure(FailedProtocol, Error.New("event data is not valid JSON"))
	}
	if s.call.Target.EchoesID && !matchesDispatch(message.ID, s.call.Dispatch) {
		s.client.recordRejected(s.call, "frame")
		return nil, newFailure(FailedIDMismatch, Error.New("event carries another dispatch ID or none"))
	}
	return message, nil
}

// drain reads the body to its end.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { _ = s.body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, sseBufferBytes))
}

func streamPath(dispatch ident.Dispatch) string {
	return "/v1/streams/" + string(dispatch)
}
