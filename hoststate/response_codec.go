package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/schedule"
)

func encodeResponses(now time.Time, responses []schedule.PoolResponse) []*hostpb.PoolResponse {
	var encoded []*hostpb.PoolResponse
	for _, r := range responses {
		encoded = append(encoded, &hostpb.PoolResponse{
			Pool:  hashName(r.Pool),
			AgeMs: clampUint32(int(now.Sub(r.At).Milliseconds())),
		})
	}
	return encoded
}

// responseDecoder returns a function that converts responses received at a time.
func responseDecoder(now time.Time) func(ident.Pool, *hostpb.PoolResponse) schedule.PoolResponse {
	return func(pool ident.Pool, r *hostpb.PoolResponse) schedule.PoolResponse {
		return schedule.PoolResponse{Pool: pool, At: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)}
	}
}
