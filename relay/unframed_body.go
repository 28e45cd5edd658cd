package relay

import (
	"context"
	"errors"
	"io"

	"github.com/cornelyard/cornelyard/target"
)

// unframedBody is the body of a response that ends with its connection. If the target's
// process has ended too, the body may be cut and ends with io.ErrUnexpectedEOF.
type unframedBody struct {
	io.ReadCloser
	targetEnded func() bool
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.targetEnded() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// targetEnded reports whether the target of a run has no process any more. One that is
// leaving may end after its last response.
func (x *execution) targetEnded(r *run) bool {
	if x.relay.options.Dispatcher.isLeaving(r.target.Name) {
		return false
	}
	return x.relay.options.TargetClient.Probe(context.WithoutCancel(r.ctx), r.target) == target.ProbeRefused
}
