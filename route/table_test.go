package route

import (
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

func TestMatchSelectsTheLongestPrefix(t *testing.T) {
	table := NewTable(1, Limits{}, []*Route{
		{Name: "short", HostName: "A.example", PathPrefix: "/x/"},
		{Name: "long", HostName: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", HostName: "b.example", PathPrefix: "/"},
	}, nil, nil)
	cases := []struct{ name, host, path, want string }{
		{"short prefix", "a.example", "/x/1", "short"},
		{"long prefix", "a.example", "/x/y/1", "long"},
		{"prefix ends at a slash", "a.example", "/x/yz", "short"},
		{"host with a port", "a.example:80", "/x/1", "short"},
		{"host in capitals", "A.EXAMPLE", "/x/1", "short"},
		{"no prefix", "a.example", "/z", ""},
		{"no slash at the end", "a.example", "/x", ""},
		{"unknown host", "c.example", "/x/1", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ""
			if r := table.Match(c.host, c.path); r != nil {
				got = r.Name
			}
			if got != c.want {
				t.Errorf("got route %q, want %q", got, c.want)
			}
		})
	}
}

func TestAuthenticate(t *testing.T) {
	team := &Team{Name: "acme", Keys: []string{"k1"}}
	withTeam := NewTable(1, Limits{}, nil, nil, []*Team{team})
	withoutTeams := NewTable(1, Limits{}, nil, nil, nil)
	cases := []struct {
		name  string
		table *Table
		route *Route
		key   string
		team  *Team
		ok    bool
	}{
		{"known key", withTeam, &Route{}, "k1", team, true},
		{"unknown key", withTeam, &Route{}, "k2", nil, false},
		{"no key", withTeam, &Route{}, "", nil, false},
		{"public route", withTeam, &Route{Public: true}, "k1", nil, true},
		{"no teams", withoutTeams, &Route{}, "", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := c.table.Authenticate(c.route, c.key)
			if got != c.team || ok != c.ok {
				t.Errorf("got team %v, ok %v", got, ok)
			}
		})
	}
}

func TestChoosePoolFollowsTheWeights(t *testing.T) {
	r := &Route{WeightedPools: []WeightedPool{{"a", 90}, {"none", 0}, {"b", 10}}}
	cases := []struct {
		random float64
		want   ident.Pool
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}}
	for _, c := range cases {
		if got := r.ChoosePool(c.random); got != c.want {
			t.Errorf("random number %v: got pool %s, want %s", c.random, got, c.want)
		}
	}
}
