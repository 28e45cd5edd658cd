package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

func validConfiguration() *route.Configuration {
	return &route.Configuration{
		Version: 1,
		Routes: []*route.Route{{
			Name: "r", HostName: "a.example", PathPrefix: "/r/", Kind: route.Stream, Resumable: true, MaxAttempts: 2,
			Timeout: 6 * time.Second, LatencyObjective: 600 * time.Millisecond, EventGapObjective: 300 * time.Millisecond,
			WeightedPools: []route.WeightedPool{{Pool: "p", Weight: 1}},
		}},
		Pools: []*route.Pool{{Name: "p", MaxConnections: 90, Engine: &route.Engine{Slots: 6}}},
		Teams: []*route.Team{{Name: "t", Keys: []string{"k"}, Quota: route.Quota{PerSecond: 100, CountsTokens: true, DefaultTokens: 700}}},
	}
}

// TestCheckFindsProblems guards against configurations that are accepted but in which an entry has
// no effect or a limit can't be met.
func TestCheckFindsProblems(t *testing.T) {
	cases := []struct {
		name   string
		change func(*route.Configuration)
		// want is a part of the only message; empty means no problem.
		want string
	}{
		{name: "valid", change: func(*route.Configuration) {}},
		{"port in the host name", func(c *route.Configuration) { c.Routes[0].HostName = "a.example:80" }, "ports of requests are ignored"},
		{"prefix without a slash", func(c *route.Configuration) { c.Routes[0].PathPrefix = "r/" }, "paths begin with a slash"},
		{"shadowed route", func(c *route.Configuration) { c.Routes = append(c.Routes, c.Routes[0]) }, "has the same host name and path prefix"},
		{"attempts beyond the timeout", func(c *route.Configuration) { c.Routes[0].MaxAttempts = 11 }, "11 attempts of up to"},
		{"unknown pool", func(c *route.Configuration) {
			c.Routes[0].WeightedPools = append(c.Routes[0].WeightedPools, route.WeightedPool{Pool: "q", Weight: 1})
		}, `the pool "q" is not configured`},
		{"pool without weight", func(c *route.Configuration) {
			c.Pools = append(c.Pools, &route.Pool{Name: "q"})
			c.Routes[0].WeightedPools = append(c.Routes[0].WeightedPools, route.WeightedPool{Pool: "q"})
		}, `the pool "q" gets no requests`},
		{"key of two teams", func(c *route.Configuration) {
			c.Teams = append(c.Teams, &route.Team{Name: "u", Keys: []string{"k"}})
		}, `no longer of the team "t"`},
		{"empty key", func(c *route.Configuration) { c.Teams[0].Keys = []string{""} }, "admits requests without a key"},
		{"quota below one request", func(c *route.Configuration) { c.Teams[0].Quota.DefaultTokens = 801 }, "it costs 801, and 8s allow 800"},
		{"resumable without a stream", func(c *route.Configuration) {
			c.Routes[0].Kind, c.Routes[0].EventGapObjective = route.Idempotent, 0
		}, "only streams are resumed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := validConfiguration()
			c.change(configuration)
			found := Check(configuration, 8*time.Second)
			switch {
			case c.want == "" && len(found) == 0:
			case len(found) != 1 || c.want == "" || !strings.Contains(found[0].Message, c.want):
				t.Errorf("got %+v, want one problem with %q", found, c.want)
			}
		})
	}
}

// TestEmptyConfigurationHasNoProblems guards against a check that fails on missing entries.
func TestEmptyConfigurationHasNoProblems(t *testing.T) {
	if found := Check(&route.Configuration{Pools: []*route.Pool{}, Teams: []*route.Team{}}, time.Second); len(found) > 0 {
		t.Errorf("got %+v", found)
	}
	if lines := Changes(validConfiguration(), validConfiguration()); len(lines) > 0 {
		t.Errorf("got changes %q between equal configurations", lines)
	}
	if lines := Changes(validConfiguration(), &route.Configuration{}); len(lines) != 3 || !strings.Contains(lines[0], "removed") {
		t.Errorf("got changes %q, want three removed entries", lines)
	}
}
