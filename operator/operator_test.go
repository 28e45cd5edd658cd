package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/operatortest"
	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/operator"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

const (
	hosts       = 3
	deskToken   = "desk-token"
	waitTimeout = 30 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startCluster(t *testing.T) *operatortest.Cluster {
	t.Helper()
	s := operatortest.Start(hosts)
	t.Cleanup(s.Close)
	return s
}

func newClient(t *testing.T, s *operatortest.Cluster, token string) *client.Client {
	t.Helper()
	c := client.New(client.Options{Addresses: s.Addresses(), Token: token})
	t.Cleanup(c.Close)
	return c
}

func request(id string, files ...string) api.ApplyRequest {
	r := api.ApplyRequest{ID: id, Author: "ana", Reason: "a test"}
	for i := 0; i < len(files); i += 2 {
		r.Puts = append(r.Puts, settings.Document{Path: files[i], Body: files[i+1]})
	}
	return r
}

func teamBody(token string) string {
	return `{"adminTokenHashes": ["` + settings.TokenHash(token) + `"], "callerTokenHashes": [], "defaultTier": "gold"}`
}

// applyDeclarations applies the initial declarations and waits until they are in
// force on all hosts.
func applyDeclarations(t *testing.T, s *operatortest.Cluster) {
	t.Helper()
	first := request("first",
		"tiers/gold.json", `{"rank": 0, "defaultDeadline": "30s"}`,
		"teams/desk/team.json", teamBody(deskToken),
		"teams/press/team.json", teamBody("press-token"),
	)
	if _, err := newClient(t, s, operatortest.OperatorToken).Apply(context.Background(), first); err != nil {
		t.Fatal(err)
	}
	for _, h := range s.Hosts {
		deadline := time.Now().Add(waitTimeout)
		for h.Settings.Version() == 0 {
			if time.Now().After(deadline) {
				t.Fatalf("%s has no settings", h.Name)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func codeOf(err error) api.ErrorCode {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

func TestApplyReturnsErrorCode(t *testing.T) {
	cases := []struct {
		name    string
		token   string
		request api.ApplyRequest
		want    api.ErrorCode
	}{
		{"accepted", operatortest.OperatorToken, request("1", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "9s"}`), ""},
		{"own subtree", deskToken, request("1", "teams/desk/team.json", teamBody("new")), ""},
		{"no token", "", request("1", "tiers/gold.json", `{}`), api.Unauthorized},
		{"unknown token", "guess", request("1", "tiers/gold.json", `{}`), api.Unauthorized},
		{"another team's subtree", deskToken, request("1", "teams/press/team.json", teamBody("new")), api.Forbidden},
		{"shared document", deskToken, request("1", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "9s"}`), api.Forbidden},
		{"faults", operatortest.OperatorToken, request("1", "tiers/gold.json", `{"rank": -1}`), api.Findings},
		{"the same change twice", operatortest.OperatorToken, request("first", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "9s"}`), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startCluster(t)
			applyDeclarations(t, s)
			_, err := newClient(t, s, c.token).Apply(context.Background(), c.request)
			if codeOf(err) != c.want || (err == nil) != (c.want == "") {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	c := newClient(t, s, operatortest.OperatorToken)
	r := request("1", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "9s"}`)
	r.DryRun = true
	if result, err := c.Apply(context.Background(), r); err != nil || !result.Changed || len(result.Edits) != 1 {
		t.Errorf("got %+v, %v", result, err)
	}
	if h, err := c.RecentHistory(context.Background(), 10); err != nil || h.Head != 1 {
		t.Errorf("the head is %d, %v", h.Head, err)
	}
}

func TestClientReceivesConflictsAndOutages(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	c := newClient(t, s, operatortest.OperatorToken)
	ctx := context.Background()
	if _, err := c.Apply(ctx, request("2", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "9s"}`)); err != nil {
		t.Fatal(err)
	}
	late := request("3", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "8s"}`)
	late.Base = 1
	_, err := c.Apply(ctx, late)
	var refusal *api.Error
	if !errors.As(err, &refusal) || refusal.Code != api.Conflict || refusal.Conflicts[0].Theirs.Version != 2 {
		t.Errorf("got %v", err)
	}
	s.Platform.SetFaults(standin.Faults{Outage: true})
	if _, err := c.Apply(ctx, request("4", "tiers/gold.json", `{"rank": 0, "defaultDeadline": "7s"}`)); codeOf(err) != api.Unavailable {
		t.Errorf("got %v", err)
	}
	documents, err := c.Documents(ctx, 0, "tiers/")
	if err != nil || !documents.Stale || documents.Version != 2 || len(documents.Documents) != 1 {
		t.Errorf("got %+v, %v", documents, err)
	}
}

func TestTeamReadsOnlyOwnAndSharedData(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	ctx := context.Background()
	s.Hosts[0].Timeline.Record(timeline.Event{Kind: timeline.Accepted, Request: "r1", Team: "desk"})
	s.Hosts[1].Timeline.Record(timeline.Event{Kind: timeline.Accepted, Request: "r2", Team: "press"})
	for _, team := range []ident.Team{"desk", "press"} {
		s.Hosts[1].Usage.Add(usage.Key{Team: team}, usage.Counters{Served: 1})
	}
	c := newClient(t, s, deskToken)
	documents, err := c.Documents(ctx, 0, "")
	if err != nil || len(documents.Documents) != 2 || documents.Documents[0].Path != "teams/desk/team.json" {
		t.Errorf("documents %+v, %v", documents, err)
	}
	history, err := c.RecentHistory(ctx, 10)
	if err != nil || len(history.Records) != 1 || len(history.Records[0].Edits) != 2 {
		t.Errorf("history %+v, %v", history, err)
	}
	events, err := c.Timeline(ctx, api.TimelineQuery{})
	if err != nil || len(events.Events) != 1 || events.Events[0].Request != "r1" {
		t.Errorf("events %+v, %v", events, err)
	}
	used, err := c.Usage(ctx)
	if err != nil || len(used.Rows) != 1 || used.Rows[0].Team != "desk" {
		t.Errorf("usage %+v, %v", used, err)
	}
}

func TestStatusListsUnreachableHosts(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	s.Disconnect("host-2")
	s.SetState("host-3", membership.Dead)
	status, err := newClient(t, s, operatortest.OperatorToken).Status(context.Background())
	if err != nil || len(status.Hosts) != 1 || len(status.Unreachable) != 2 {
		t.Fatalf("got %+v, %v", status, err)
	}
	self := status.Hosts[0]
	if self.SettingsVersion != 1 || self.Alive != 2 || len(self.NotAlive) != 1 || len(self.Pools) != 1 || self.NotReady != "" {
		t.Errorf("own status %+v", self)
	}
	if status.Unreachable[1].Host != "host-3" || !strings.Contains(status.Unreachable[1].Reason, "dead") {
		t.Errorf("unreachable %+v", status.Unreachable)
	}
}

// TestTimelinePagesInOrderWithoutLoss reads interleaved events of all hosts, with
// different numbers per host, in small pages.
func TestTimelinePagesInOrderWithoutLoss(t *testing.T) {
	s := startCluster(t)
	const events = 50
	for i := range events {
		for _, h := range s.Hosts[:1+i%hosts] {
			h.Timeline.Record(timeline.Event{Kind: timeline.Accepted, Request: "r1"})
		}
	}
	recorded := 0
	for _, h := range s.Hosts {
		recorded += len(h.Timeline.Events(timeline.Timestamp{}, "r1", 0))
	}
	c := newClient(t, s, operatortest.OperatorToken)
	query := api.TimelineQuery{Request: "r1", Limit: 7}
	var all []timeline.Event
	for more := true; more; {
		page, err := c.Timeline(context.Background(), query)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, page.Events...)
		query.Cursors, more = page.Cursors, page.More
	}
	if len(all) != recorded {
		t.Fatalf("read %d of %d events", len(all), recorded)
	}
	for i := 1; i < len(all); i++ {
		if all[i].Time.Before(all[i-1].Time) {
			t.Fatalf("event %d is earlier than the event before it", i)
		}
	}
}

func TestUsageKeepsLastReportOfDeadHost(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	for _, h := range s.Hosts {
		h.Usage.Add(usage.Key{Team: "desk", Pool: "p"}, usage.Counters{Served: 2, TokenSeconds: 1.5})
	}
	c := newClient(t, s, operatortest.OperatorToken)
	for _, state := range []membership.State{membership.Alive, membership.Dead} {
		s.SetState("host-3", state)
		used, err := c.Usage(context.Background())
		if err != nil || len(used.Rows) != 1 || used.Rows[0].Served != 2*hosts || len(used.Sources) != hosts {
			t.Errorf("with host-3 %s: %+v, %v", state, used, err)
		}
		if missing := len(used.Unreachable); (state == membership.Dead) != (missing == 1) {
			t.Errorf("with host-3 %s: %d hosts are listed as unreachable", state, missing)
		}
	}
}

func TestUsageIsReplicatedFromNextHost(t *testing.T) {
	s := startCluster(t)
	s.Hosts[0].Usage.Add(usage.Key{Team: "desk"}, usage.Counters{Served: 1})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	last := s.Hosts[hosts-1]
	go func() { ended <- last.Operator.ReplicateUsage(ctx) }()
	deadline := time.Now().Add(waitTimeout)
	for len(last.Usage.RemoteReports()) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if kept := last.Usage.RemoteReports(); len(kept) != 1 || kept[0].Host != "host-1" || len(kept[0].Rows) != 1 {
		t.Errorf("kept %+v", kept)
	}
}

func TestMalformedRequestsReturnSpecificErrors(t *testing.T) {
	s := startCluster(t)
	applyDeclarations(t, s)
	cases := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"syntax", "POST", api.PathApply, `{"id": `, 400, "request:1:8: the text ends too early"},
		{"unknown field", "POST", api.PathApply, `{"id": "a", "author": "a", "reason": "r", "force": true}`, 400, "force: unknown field"},
		{"number", "GET", api.PathHistory + "?limit=many", "", 400, "limit is not a number"},
		{"version", "GET", api.PathDocuments + "?version=99", "", 404, "version 99 does not exist; the newest is 1"},
		{"path", "GET", "/v1/nothing", "", 404, "not found"},
		{"method", "DELETE", api.PathApply, "", 404, "method not allowed"},
		{"large body", "POST", api.PathApply, strings.Repeat(" ", 33<<20), 400, "request entity too large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := sendRequest(t, c.method, "http://"+s.Hosts[0].Address+c.path, c.body)
			if status != c.status || !strings.Contains(body, c.want) || !strings.Contains(body, `"error"`) {
				t.Errorf("status %d, body %s", status, body)
			}
		})
	}
}

func sendRequest(t *testing.T, method, target, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatortest.OperatorToken)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func TestReadinessDependsOnSettings(t *testing.T) {
	s := startCluster(t)
	target := "http://" + s.Hosts[0].Address
	for path, want := range map[string]int{api.PathReady: 503, api.PathHealth: 200, api.PathMetrics: 200} {
		if status, body := sendRequest(t, "GET", target+path, ""); status != want {
			t.Errorf("%s: status %d, body %s", path, status, body)
		}
	}
	applyDeclarations(t, s)
	if status, _ := sendRequest(t, "GET", target+api.PathReady, ""); status != 200 {
		t.Errorf("status %d with settings in force", status)
	}
}

func TestRunStopsAndReportsAddressInUse(t *testing.T) {
	s := startCluster(t)
	o := operator.New(operator.Options{Address: s.Hosts[0].Address, Metrics: http.NotFoundHandler()})
	if err := o.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("got %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- operator.New(operator.Options{Address: "127.0.0.1:0", Metrics: http.NotFoundHandler()}).Run(ctx)
	}()
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got %v", err)
	}
}
