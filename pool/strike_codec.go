package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/quarantine"
)

func encodeStrikes(now time.Time, pool ident.Pool, records []admission.StrikeRecord) *peerpb.StrikeList {
	list := &peerpb.StrikeList{Pool: string(pool)}
	for _, r := range records {
		list.Strikes = append(list.Strikes, &peerpb.Strike{
			Digest:      uint64(r.Digest),
			Count:       int32(r.Count),
			RemainingMs: r.Expiry.Sub(now).Milliseconds(),
		})
	}
	return list
}

func decodeStrikes(now time.Time, list *peerpb.StrikeList) []admission.StrikeRecord {
	records := make([]admission.StrikeRecord, 0, len(list.GetStrikes()))
	for _, s := range list.GetStrikes() {
		records = append(records, admission.StrikeRecord{
			Digest: quarantine.Digest(s.GetDigest()),
			Count:  int(s.GetCount()),
			Expiry: now.Add(time.Duration(s.GetRemainingMs()) * time.Millisecond),
		})
	}
	return records
}
