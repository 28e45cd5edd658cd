package operator

import (
	"context"
	"encoding/json"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/peer"
)

// Names of the unary calls between hosts.
const (
	methodStatus   = "status.read"
	methodTimeline = "timeline.read"
	methodUsage    = "usage.read"
)

// Method is a unary call that this host serves to others.
type Method struct {
	Name  string
	Serve peer.Method
}

// Methods returns the methods to register with the mesh.
func (o *Operator) Methods() []Method {
	return []Method{
		{Name: methodStatus, Serve: methodFor(o.localStatus)},
		{Name: methodTimeline, Serve: methodFor(o.localTimeline)},
		{Name: methodUsage, Serve: methodFor(o.localUsage)},
	}
}

// methodFor wraps a typed function as a method with JSON bodies.
func methodFor[Request, Reply any](answer func(Request) Reply) peer.Method {
	return func(_ context.Context, _ ident.Host, body []byte) ([]byte, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, Error.Wrap(err)
		}
		reply, err := json.Marshal(answer(request))
		return reply, Error.Wrap(err)
	}
}
