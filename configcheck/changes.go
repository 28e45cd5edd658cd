package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/route"
)

// Changes describes what differs between two configurations, one entry a line. Keys are secret, so
// it names their fingerprints.
func Changes(from, to *route.Configuration) []string {
	var lines []string
	limits := entry{fields: describeLimits(from.Limits)}
	if differences := limits.differences(entry{fields: describeLimits(to.Limits)}); len(differences) > 0 {
		lines = append(lines, "limits changed: "+strings.Join(differences, ", "))
	}
	lines = append(lines, changedEntries("route", describeRoutes(from), describeRoutes(to))...)
	lines = append(lines, changedEntries("pool", describePools(from), describePools(to))...)
	return append(lines, changedEntries("team", describeTeams(from), describeTeams(to))...)
}

// entry is an entry of a configuration by its name; fields are compared one by one.
type entry struct {
	name   string
	fields []field
}

type field struct {
	name  string
	value string
}

func changedEntries(kind string, from, to []entry) []string {
	var lines []string
	for _, old := range from {
		if findEntry(to, old.name) == nil {
			lines = append(lines, fmt.Sprintf("%s %q removed", kind, old.name))
		}
	}
	for _, current := range to {
		old := findEntry(from, current.name)
		if old == nil {
			lines = append(lines, fmt.Sprintf("%s %q added", kind, current.name))
			continue
		}
		if differences := old.differences(current); len(differences) > 0 {
			lines = append(lines, fmt.Sprintf("%s %q changed: %s", kind, current.name, strings.Join(differences, ", ")))
		}
	}
	return lines
}

func findEntry(entries []entry, name string) *entry {
	i := slices.IndexFunc(entries, func(e entry) bool { return e.name == name })
	if i < 0 {
		return nil
	}
	return &entries[i]
}

func (e *entry) differences(to entry) []string {
	var differences []string
	for i, f := range e.fields {
		if now := to.fields[i]; now.value != f.value {
			differences = append(differences, fmt.Sprintf("%s %s -> %s", f.name, f.value, now.value))
		}
	}
	return differences
}

func newField(name string, value any) field {
	return field{name: name, value: fmt.Sprint(value)}
}

func describeRoutes(c *route.Configuration) []entry {
	entries := make([]entry, 0, len(c.Routes))
	for _, r := range c.Routes {
		entries = append(entries, entry{name: r.Name, fields: []field{
			newField("host name", r.HostName), newField("path prefix", r.PathPrefix), newField("kind", r.Kind),
			newField("resumable", r.Resumable), newField("timeout", r.Timeout), newField("latency objective", r.LatencyObjective),
			newField("event gap objective", r.EventGapObjective), newField("priority", r.Priority),
			newField("attempts", r.MaxAttempts), newField("public", r.Public), newField("pools", describeWeights(r.WeightedPools)),
		}})
	}
	return entries
}

func describePools(c *route.Configuration) []entry {
	entries := make([]entry, 0, len(c.Pools))
	for _, p := range c.Pools {
		entries = append(entries, entry{name: string(p.Name), fields: []field{
			newField("connections", p.MaxConnections), newField("engine", describeEngine(p.Engine)),
		}})
	}
	return entries
}

func describeTeams(c *route.Configuration) []entry {
	entries := make([]entry, 0, len(c.Teams))
	for _, t := range c.Teams {
		entries = append(entries, entry{name: string(t.Name), fields: []field{
			newField("priority", t.Priority), newField("keys", strings.Join(fingerprints(t.Keys), " ")), newField("quota", describeQuota(t.Quota)),
		}})
	}
	return entries
}

func describeLimits(l route.Limits) []field {
	return []field{
		newField("header bytes", l.MaxHeaderBytes), newField("body bytes", l.MaxBodyBytes),
		newField("header timeout", l.HeaderTimeout), newField("idle timeout", l.IdleTimeout),
	}
}

// describeWeights returns each pool with its part of the requests.
func describeWeights(pools []route.WeightedPool) string {
	total := 0.0
	for _, p := range pools {
		total += p.Weight
	}
	texts := make([]string, 0, len(pools))
	for _, p := range pools {
		if len(pools) == 1 || total <= 0 {
			texts = append(texts, string(p.Pool))
			continue
		}
		texts = append(texts, fmt.Sprintf("%s %.3g%%", p.Pool, 100*p.Weight/total))
	}
	return strings.Join(texts, " and ")
}

func describeEngine(e *route.Engine) string {
	if e == nil {
		return "none"
	}
	return fmt.Sprintf("%d slots with %d tokens of KV cache and %d tokens per event", e.Slots, e.KVCacheTokens, e.TokensPerEvent)
}

func describeQuota(q route.Quota) string {
	if !q.Limited() {
		return "none"
	}
	unit := "requests"
	if q.CountsTokens {
		unit = "tokens"
	}
	text := fmt.Sprintf("%g %s per second and a burst of %g", q.PerSecond, unit, q.Burst)
	if q.CountsTokens {
		text += fmt.Sprintf(" (%d for a request that states none)", q.DefaultTokens)
	}
	return text
}

// fingerprintBytes is the length of a fingerprint, enough to tell the keys of one team apart.
const fingerprintBytes = 4

func fingerprints(keys []string) []string {
	prints := make([]string, 0, len(keys))
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		prints = append(prints, hex.EncodeToString(sum[:fingerprintBytes]))
	}
	slices.Sort(prints)
	return prints
}
