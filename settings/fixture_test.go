package settings_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/restclient"
)

// waitTimeout limits every wait in these tests.
const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a simulated platform; its methods create clients for the hosts under
// test.
type fixture struct {
	platform *standin.Platform
	server   *httptest.Server
	t        *testing.T
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	services := standin.New(standin.Options{})
	server := httptest.NewServer(services.Handler())
	t.Cleanup(server.Close)
	return &fixture{platform: services, server: server, t: t}
}

func (f *fixture) table() *restclient.Client {
	client := restclient.New(restclient.Options{BaseURL: f.server.URL, Timeout: 2 * time.Second})
	f.t.Cleanup(client.CloseIdleConnections)
	return client
}

func (f *fixture) store() *settings.Store {
	return settings.NewStore(settings.StoreOptions{Table: f.table(), Timeout: waitTimeout})
}

// storeFor returns a store with the timeout.
func (f *fixture) storeFor(timeout time.Duration) *settings.Store {
	return settings.NewStore(settings.StoreOptions{Table: f.table(), Timeout: timeout})
}

// run starts the watcher and stops it when the test ends.
func (f *fixture) run(w *settings.Watcher) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("the watcher returned %v", err)
		}
	})
}

func (f *fixture) apply(store *settings.Store, c settings.Change) settings.Result {
	f.t.Helper()
	result, err := store.Apply(context.Background(), c)
	if err != nil {
		f.t.Fatalf("apply: %v", err)
	}
	return result
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func hash(digit string) string { return strings.Repeat(digit, 64) }

// change returns an operator's change that writes one document.
func change(path, body string) settings.Change {
	return settings.Change{
		Author:    "ana",
		Reason:    "a test",
		Principal: settings.OperatorPrincipal(),
		Puts:      []settings.Document{{Path: path, Body: body}},
	}
}

// firstChange declares a tier and two teams with admin tokens.
func firstChange() settings.Change {
	c := change("tiers/gold.json", `{"rank": 0, "defaultDeadline": "30s"}`)
	c.Puts = append(c.Puts,
		settings.Document{Path: "teams/desk/team.json", Body: teamBody("a", "b")},
		settings.Document{Path: "teams/press/team.json", Body: teamBody("c", "d")},
	)
	return c
}

func teamBody(admin, caller string) string {
	return `{"adminTokenHashes": ["` + hash(admin) + `"], "callerTokenHashes": ["` + hash(caller) + `"], "defaultTier": "gold"}`
}

func tierBody(deadline string) string {
	return `{"rank": 0, "defaultDeadline": "` + deadline + `"}`
}
