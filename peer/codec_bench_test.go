package peer

import (
	"testing"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

func BenchmarkAppendHeartbeat(b *testing.B) {
	clock := timeline.NewClock()
	f := &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Incarnation: 1_800_000_000_000_000_000, SettingsVersion: 1 << 20,
	}}}
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		buffer, _ = appendFrame(buffer[:0], f, clock.Now(), 1<<32)
	}
	b.ReportMetric(float64(len(buffer)), "B/frame")
}
