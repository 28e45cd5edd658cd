package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// TestMain sets a fixed seed for the property tests so that every run gives the
// same result. Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// epoch is the start of virtual time in all tests.
var epoch = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return epoch.Add(offset) }

var testTiers = []settings.Tier{
	{Name: "filing", Rank: 0},
	{Name: "desk", Rank: 1},
	{Name: "draft", Rank: 2},
	{Name: "batch", Rank: 3},
}

func testTargets(count, slots int) []settings.Target {
	targets := make([]settings.Target, count)
	for i := range targets {
		targets[i] = settings.Target{
			Name:    ident.Target(fmt.Sprintf("engine-%03d", i)),
			Pool:    "drafting",
			Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Slots:   slots,
		}
	}
	return targets
}

func testConfig(count, slots int) Config {
	return Config{
		Pool:    settings.Pool{Name: "drafting", Kind: settings.EnginePool, MaxQueue: 100},
		Tiers:   testTiers,
		Targets: testTargets(count, slots),
	}
}

func newTestScheduler(c Config) *Scheduler {
	s := New(Options{DataCentre: "colombo-1", Pool: "drafting"})
	s.Configure(epoch, c)
	return s
}

func testRequest(id, team, tier string) Request {
	return Request{
		ID:           ident.Request(id),
		Entry:        "host-1",
		Pool:         "drafting",
		Team:         ident.Team(team),
		Tier:         ident.Tier(tier),
		Arrived:      epoch,
		Deadline:     at(time.Minute),
		PromptTokens: 100,
		MaxTokens:    100,
	}
}

// describe renders actions as short strings for comparison.
func describe(actions []Action) []string {
	var words []string
	for _, action := range actions {
		switch a := action.(type) {
		case *Grant:
			words = append(words, fmt.Sprintf("grant %s", a.Request.ID))
		case *Refuse:
			words = append(words, fmt.Sprintf("refuse %s %s", a.Request.ID, a.Reason))
		case *Preempt:
			words = append(words, fmt.Sprintf("preempt %s", a.Request.ID))
		case *Forward:
			words = append(words, fmt.Sprintf("forward %s", a.Request.ID))
		}
	}
	return words
}
