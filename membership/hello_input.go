package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

type helloInput struct{ hello *peerpb.Hello }

func (in helloInput) apply(t *Tracker, now time.Time) {
	self := memberFromProto(in.hello.GetSelf())
	t.detector.handleHello(self.Member, now)
	t.detector.handleMemberList(self.Host, membersFromProto(in.hello.GetMembers()), now)
	t.reportNewerVersion(in.hello.GetSettingsVersion())
}
