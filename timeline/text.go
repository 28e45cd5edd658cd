package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// textTimeLayout formats an event's time, in UTC.
const textTimeLayout = "2006-01-02T15:04:05.000000Z"

// String returns the event as one line.
func (e Event) String() string {
	var b strings.Builder
	b.WriteString(e.Time.Time().UTC().Format(textTimeLayout))
	fmt.Fprintf(&b, "+%d %-12s #%-6d %-16s", e.Time.Logical, e.Host, e.Sequence, e.Kind)
	writeField(&b, "request", string(e.Request))
	writeField(&b, "dispatch", string(e.Dispatch))
	writeField(&b, "team", string(e.Team))
	writeField(&b, "tier", string(e.Tier))
	writeField(&b, "pool", string(e.Pool))
	writeField(&b, "target", string(e.Target))
	writeField(&b, "peer", string(e.Peer))
	if e.Version != 0 {
		fmt.Fprintf(&b, " version=%d", e.Version)
	}
	if e.Detail != "" {
		fmt.Fprintf(&b, " detail=%q", e.Detail)
	}
	return b.String()
}

func writeField(b *strings.Builder, name, value string) {
	if value == "" {
		return
	}
	b.WriteByte(' ')
	b.WriteString(name)
	b.WriteByte('=')
	b.WriteString(value)
}

// WriteText writes one line of text per event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, e.String()); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSONLines writes one JSON object per line and event.
func WriteJSONLines(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return err
		}
	}
	return nil
}
