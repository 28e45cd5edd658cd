package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

type hostListInput struct{ hosts []storage.HostEntry }

func (in hostListInput) apply(t *Tracker, now time.Time) {
	t.detector.applyHostList(in.hosts, now)
}
