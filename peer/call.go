package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// Call implements Caller. If no session is open, it waits for one. A context without a
// deadline is given callTimeout.
func (m *Mesh) Call(ctx context.Context, to ident.Host, method string, body []byte) ([]byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	call := &peerpb.Call{Method: method, Body: body}
	if to == m.self {
		return replyResult(m.handleCall(ctx, m.self, call))
	}
	s, err := m.waitForSession(ctx, to)
	if err != nil {
		return nil, err
	}
	reply, err := s.call(ctx, call)
	if err != nil {
		return nil, err
	}
	return replyResult(reply)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, callTimeout)
}

func replyResult(reply *peerpb.Reply) ([]byte, error) {
	if reply.GetError() != "" {
		return nil, Error.New("%s", reply.GetError())
	}
	return reply.GetBody(), nil
}

// waitForSession returns the open session to the host. Without one, it wakes the
// dialler and waits until a session opens or the dial fails.
func (m *Mesh) waitForSession(ctx context.Context, to ident.Host) (*session, error) {
	l, mayDial := m.dialableLink(to)
	if l == nil {
		return nil, ErrNoSession
	}
	open, changed := l.addWaiter()
	defer l.removeWaiter()
	if open != nil {
		return open, nil
	}
	if !mayDial {
		return nil, ErrNoSession
	}
	m.wakeDialler()
	select {
	case <-changed:
	case <-ctx.Done():
		return nil, ErrNoSession
	}
	if s := l.openSession(); s != nil {
		return s, nil
	}
	return nil, ErrNoSession
}

// call sends one request and reads its reply on a separate stream.
func (s *session) call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Now()) })
	defer stop()
	if err := writeMessage(stream, call); err != nil {
		return nil, err
	}
	reply := &peerpb.Reply{}
	if err := readMessage(bufio.NewReader(stream), maxFrameBytes, reply); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, Error.Wrap(err)
	}
	return reply, nil
}

// acceptCalls serves unary calls until the session ends. It closes the stream of a
// call that would exceed maxCalls.
func (s *session) acceptCalls(ctx context.Context) {
	slots := make(chan struct{}, maxCalls)
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.close(Error.Wrap(err))
			return
		}
		select {
		case slots <- struct{}{}:
			s.mesh.connectionTasks.Go(func() {
				s.serveCall(ctx, stream)
				<-slots
			})
		default:
			_ = stream.Close()
		}
	}
}

func (s *session) serveCall(ctx context.Context, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(maxCallTime))
	call := &peerpb.Call{}
	if err := readMessage(bufio.NewReader(stream), maxFrameBytes, call); err != nil {
		return
	}
	_ = writeMessage(stream, s.mesh.handleCall(ctx, s.host, call))
}

// handleCall runs the method registered for the call.
func (m *Mesh) handleCall(ctx context.Context, caller ident.Host, call *peerpb.Call) *peerpb.Reply {
	handler, ok := m.methods[call.GetMethod()]
	if !ok {
		return &peerpb.Reply{Error: "unknown method " + call.GetMethod()}
	}
	body, err := handler(ctx, caller, call.GetBody())
	if err != nil {
		return &peerpb.Reply{Error: err.Error()}
	}
	return &peerpb.Reply{Body: body}
}
