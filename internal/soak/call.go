package soak

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// call is one request with its reply.
type call struct {
	request     platformtest.Request
	host        *host
	incarnation int
	limited     bool
	// guest marks the calls with the key that is revoked during an upgrade.
	guest    bool
	started  time.Time
	finished time.Time
	reply    platformtest.Reply
	// version is the configuration version that declares the path, or zero.
	version int
	// takesUp is the call whose stream this one takes up, or nil.
	takesUp *call
}

// expectedBody returns the complete response body.
func (c *call) expectedBody() string {
	if c.service() == platformtest.ModelService {
		return streamBody(c.request.ID, c.request.LastEvent)
	}
	return serviceBody(c.request.ID, c.request.Path)
}

// service returns the service that serves the call.
func (c *call) service() string {
	switch c.request.Path {
	case platformtest.PathStream, platformtest.PathResumable:
		return platformtest.ModelService
	default:
		return platformtest.Service
	}
}

func (c *call) String() string {
	return fmt.Sprintf("%s %s %s through %s (life %d, %s) from %s to %s: status %d, body %q, error %v",
		c.request.ID, c.request.Method, c.request.Path, c.host.Name, c.incarnation, c.host.buildOf(c.incarnation), c.started.Format("15:04:05.000"),
		c.finished.Format("15:04:05.000"), c.reply.Status, c.reply.Body, c.reply.Err)
}
