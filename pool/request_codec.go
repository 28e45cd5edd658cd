package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/quarantine"
)

// encodeRequest encodes times as durations relative to now, since clocks differ
// between hosts.
func encodeRequest(now time.Time, r *admission.Request) *peerpb.RequestInfo {
	return &peerpb.RequestInfo{
		Id:            string(r.ID),
		Team:          string(r.Team),
		Tier:          string(r.Tier),
		WaitedMs:      now.Sub(r.Arrived).Milliseconds(),
		RemainingMs:   r.Deadline.Sub(now).Milliseconds(),
		PromptTokens:  int32(r.PromptTokens),
		MaxTokens:     int32(r.MaxTokens),
		Prefix:        r.Prefix,
		Digest:        uint64(r.Content.Whole),
		Parts:         encodeDigests(r.Content.Parts),
		NonIdempotent: r.NonIdempotent,
		Forwarded:     r.Forwarded,
		Avoid:         encodeTargets(r.ExcludedTargets),
	}
}

func encodeDigests(digests []quarantine.Digest) []uint64 {
	var encoded []uint64
	for _, digest := range digests {
		encoded = append(encoded, uint64(digest))
	}
	return encoded
}

func decodeDigests(encoded []uint64) []quarantine.Digest {
	var digests []quarantine.Digest
	for _, digest := range encoded {
		digests = append(digests, quarantine.Digest(digest))
	}
	return digests
}

func encodeTargets(targets []ident.Target) []string {
	var names []string
	for _, target := range targets {
		names = append(names, string(target))
	}
	return names
}

func decodeTargets(names []string) []ident.Target {
	var targets []ident.Target
	for _, name := range names {
		targets = append(targets, ident.Target(name))
	}
	return targets
}

// decodeRequest converts the durations to times on the local clock.
func decodeRequest(now time.Time, from ident.Host, pool ident.Pool, info *peerpb.RequestInfo) admission.Request {
	return admission.Request{
		ID:            ident.Request(info.GetId()),
		Entry:         from,
		Pool:          pool,
		Team:          ident.Team(info.GetTeam()),
		Tier:          ident.Tier(info.GetTier()),
		Arrived:       now.Add(-time.Duration(info.GetWaitedMs()) * time.Millisecond),
		Deadline:      now.Add(time.Duration(info.GetRemainingMs()) * time.Millisecond),
		PromptTokens:  int(info.GetPromptTokens()),
		MaxTokens:     int(info.GetMaxTokens()),
		Prefix:        info.GetPrefix(),
		Content:       quarantine.Content{Whole: quarantine.Digest(info.GetDigest()), Parts: decodeDigests(info.GetParts())},
		NonIdempotent: info.GetNonIdempotent(),
		Forwarded:     info.GetForwarded(),

		ExcludedTargets: decodeTargets(info.GetAvoid()),
	}
}
