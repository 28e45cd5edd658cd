package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/schedule"
)

func encodeBrittle(now time.Time, targets []schedule.BrittleTarget) []*hostpb.BrittleTarget {
	var encoded []*hostpb.BrittleTarget
	for _, b := range targets {
		encoded = append(encoded, &hostpb.BrittleTarget{
			Target:      hashName(b.Target),
			StartUnixMs: b.StartUnixMs,
			AgeMs:       clampUint32(int(now.Sub(b.At).Milliseconds())),
		})
	}
	return encoded
}

// brittleDecoder returns a function that converts brittle targets received at a time.
func brittleDecoder(now time.Time) func(ident.Target, *hostpb.BrittleTarget) schedule.BrittleTarget {
	return func(target ident.Target, b *hostpb.BrittleTarget) schedule.BrittleTarget {
		return schedule.BrittleTarget{
			TargetProcess: schedule.TargetProcess{Target: target, StartUnixMs: b.GetStartUnixMs()},
			At:            now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond),
		}
	}
}
