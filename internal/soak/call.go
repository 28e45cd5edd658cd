package soak

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// call is one request with what came of it.
type call struct {
	try   platformtest.Request
	host  *host
	life  int
	small bool
	begun time.Time
	ended time.Time
	reply platformtest.Reply
	// version is the configuration that the path belongs to, or zero.
	version int
}

// want is the whole answer.
func (c *call) want() string {
	if c.try.Path == platformtest.PathStream {
		return streamTo(c.try.ID)
	}
	return answerTo(c.try.ID, c.try.Path)
}

func (c *call) String() string {
	return fmt.Sprintf("%s %s %s through %s (life %d) from %s to %s: status %d, body %q, error %v",
		c.try.ID, c.try.Method, c.try.Path, c.host.Name, c.life, c.begun.Format("15:04:05.000"),
		c.ended.Format("15:04:05.000"), c.reply.Status, c.reply.Body, c.reply.Err)
}
