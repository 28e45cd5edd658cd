package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/targetlimit"
)

// maxLimitMilli bounds limits in messages; a higher one restricts nothing.
const maxLimitMilli = 1e12

func encodeLimits(now time.Time, limits []schedule.TargetLimit) []*hostpb.TargetLimit {
	var encoded []*hostpb.TargetLimit
	for _, l := range limits {
		encoded = append(encoded, &hostpb.TargetLimit{
			Target:     hashName(l.Target),
			ProcessMs:  l.Process,
			Limited:    l.Kind == targetlimit.Limited,
			LimitMilli: clampUint64(min(l.PerSecond*thousandthsPerUnit, maxLimitMilli)),
			AgeMs:      clampUint32(int(now.Sub(l.At).Milliseconds())),
			Heard:      l.Kind != targetlimit.Silent,
			ClaimMilli: clampUint64(min(l.Claim*thousandthsPerUnit, maxLimitMilli)),
		})
	}
	return encoded
}

// limitDecoder returns a function that converts limits received at a time.
func limitDecoder(now time.Time) func(ident.Target, *hostpb.TargetLimit) schedule.TargetLimit {
	return func(target ident.Target, l *hostpb.TargetLimit) schedule.TargetLimit {
		decoded := schedule.TargetLimit{Target: target, Claim: float64(l.GetClaimMilli()) / thousandthsPerUnit}
		decoded.Process = l.GetProcessMs()
		decoded.At = now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond)
		decoded.Statement = decodeStatement(l)
		return decoded
	}
}

func decodeStatement(l *hostpb.TargetLimit) targetlimit.Statement {
	switch {
	case !l.GetHeard():
		return targetlimit.Statement{}
	case !l.GetLimited():
		return targetlimit.Statement{Kind: targetlimit.Unlimited}
	default:
		return targetlimit.Statement{Kind: targetlimit.Limited, PerSecond: float64(l.GetLimitMilli()) / thousandthsPerUnit}
	}
}
