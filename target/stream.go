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
	// drainTime bounds the wait for the end of a body after its last frame, so
	// that the connection can be used again.
	drainTime = 100 * time.Millisecond
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 16
)

// stream is an engine's answer as server-sent events.
type stream struct {
	ctx    context.Context
	client *Client
	call   Call

	body     io.ReadCloser
	frames   *frameReader
	sequence sequence
	resumes  int
	done     bool
}

func newStream(ctx context.Context, c *Client, call Call, body io.ReadCloser) *stream {
	s := &stream{ctx: ctx, client: c, call: call}
	s.attach(body)
	return s
}

func (s *stream) attach(body io.ReadCloser) {
	s.body = body
	s.frames = newFrameReader(body, s.client.options.MaxEventBytes)
}

func (s *stream) close() { _ = s.body.Close() }

func (s *stream) next() (Chunk, error) {
	if s.done {
		s.drain()
		return Chunk{}, io.EOF
	}
	for {
		f, err := s.frames.next()
		if err != nil {
			if err := s.recover(err); err != nil {
				return Chunk{}, err
			}
			continue
		}
		chunk, ok, err := s.accept(f)
		if err != nil || ok {
			return chunk, err
		}
	}
}

// recover resumes a cut stream.
func (s *stream) recover(cause error) error {
	if failure := asFailure(FailedConnection, cause); failure.Kind != FailedConnection {
		return failure
	}
	after, ok := s.sequence.resumeFrom()
	if !ok || !canResume(s.call) || s.resumes >= maxResumes {
		return fail(FailedConnection, cause)
	}
	s.resumes++
	response, err := s.client.resume(s.ctx, s.call, after)
	if err != nil {
		return err
	}
	_ = s.body.Close()
	s.attach(response.Body)
	s.sequence.reconnected()
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

// accept returns the frame as a chunk if it is to be passed on.
func (s *stream) accept(f *frame) (Chunk, bool, error) {
	if len(f.data) == 0 {
		return Chunk{}, false, nil
	}
	message, err := s.parse(f)
	if err != nil {
		return Chunk{}, false, err
	}
	switch s.sequence.place(f, message) {
	case placeRepeated:
		return Chunk{}, false, nil
	case placeSkipped:
		return Chunk{}, false, fail(FailedProtocol, Error.New("the stream skips frames"))
	case placeInvalid:
		return Chunk{}, false, fail(FailedProtocol, Error.New("the stream's numbering is broken"))
	}
	s.done = f.isDone()
	return newFrameChunk(f, message), true, nil
}

func newFrameChunk(f *frame, message *engineMessage) Chunk {
	chunk := Chunk{Bytes: f.raw, Usage: message.Usage}
	if message.hasToken() {
		chunk.Tokens = 1
	}
	return chunk
}

// parse reads a frame's JSON and checks whose it is.
func (s *stream) parse(f *frame) (*engineMessage, error) {
	message := new(engineMessage)
	if f.isDone() {
		return message, nil
	}
	if err := json.Unmarshal(f.data, message); err != nil {
		return nil, fail(FailedProtocol, Error.New("a frame is not JSON"))
	}
	if s.call.Target.EchoesID && !ownID(message.ID, s.call.Dispatch) {
		s.client.reject(s.call, "frame")
		return nil, fail(FailedIDMismatch, Error.New("a frame has another dispatch id"))
	}
	return message, nil
}

// drain reads to the end of the body.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTime, func() { _ = s.body.Close() })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, frameBufferBytes))
}

func dispatchPath(dispatch ident.Dispatch) string {
	return "/v1/streams/" + string(dispatch)
}
