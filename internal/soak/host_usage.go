package soak

import (
	"fmt"
	"time"

	"github.com/cornelyard/cornelyard/internal/processortime"
)

// describeHosts says what processor time the hosts' current processes have got.
func (s *system) describeHosts() string {
	var sum processortime.Usage
	running := 0
	for _, h := range s.hosts {
		if h.Running() {
			sum = sum.Add(processortime.UsageOf(h.PID()))
			running++
		}
	}
	return fmt.Sprintf("%d running hosts used %v, their threads waited %v for a processor",
		running, sum.Running.Round(time.Millisecond), sum.Waiting.Round(time.Millisecond))
}
