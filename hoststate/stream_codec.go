package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/streamversion"
)

// encodeStreams groups the streams by where they began.
func encodeStreams(state *hostpb.HostState, r *streamversion.Report) {
	groups := make(map[streamversion.Origin]*hostpb.StreamOrigin)
	for _, record := range r.Records {
		group := groups[record.Origin]
		if group == nil {
			group = &hostpb.StreamOrigin{
				Pool:    hashName(record.Origin.Pool),
				Version: record.Origin.Version,
				Unsure:  record.Origin.Unsure,
			}
			groups[record.Origin] = group
			state.StreamOrigins = append(state.StreamOrigins, group)
		}
		group.Streams = append(group.Streams, uint32(record.Key))
	}
	for _, s := range r.SoleVersions {
		state.SoleVersions = append(state.SoleVersions, &hostpb.SoleVersion{
			Pool:    hashName(s.Pool),
			Version: s.Version,
			AgeMs:   clampUint32(int(s.Age.Milliseconds())),

			ListAgeMs: clampUint32(int(s.ListAge.Milliseconds())),
		})
	}
}

func (n *NameIndex) decodeStreams(state *hostpb.HostState) streamversion.Report {
	r := streamversion.Report{
		SoleVersions: decodeItems(state.GetSoleVersions(), n.pools, (*hostpb.SoleVersion).GetPool, decodeSoleVersion),
	}
	for _, group := range state.GetStreamOrigins() {
		pool, known := n.pools[group.GetPool()]
		if !known {
			continue
		}
		origin := streamversion.Origin{Pool: pool, Version: group.GetVersion(), Unsure: group.GetUnsure()}
		for _, key := range group.GetStreams() {
			r.Records = append(r.Records, streamversion.Record{Key: streamversion.Key(key), Origin: origin})
		}
	}
	return r
}

func decodeSoleVersion(pool ident.Pool, s *hostpb.SoleVersion) streamversion.SoleVersion {
	return streamversion.SoleVersion{
		Pool:    pool,
		Version: s.GetVersion(),
		Age:     time.Duration(s.GetAgeMs()) * time.Millisecond,
		ListAge: time.Duration(s.GetListAgeMs()) * time.Millisecond,
	}
}
