package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/outcome"
)

func TestBadInput(t *testing.T) {
	const chat = "/v1/chat/completions"
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		header []string
		status int
		reason outcome.Reason
		param  string
	}{
		{name: "no token", path: chat, body: chatBody, header: []string{"Authorization", ""}, status: 401, reason: outcome.Unauthorized},
		{name: "unknown token", path: chat, body: chatBody, header: []string{"Authorization", "Bearer x"}, status: 401, reason: outcome.Unauthorized},
		{name: "other scheme", path: chat, body: chatBody, header: []string{"Authorization", "Basic " + testToken}, status: 401, reason: outcome.Unauthorized},
		{name: "unknown tier", path: chat, body: chatBody, header: []string{headerTier, "lead"}, status: 403, reason: outcome.TierForbidden},
		{name: "other team's tier", path: chat, body: chatBody, header: []string{headerTier, "staff"}, status: 403, reason: outcome.TierForbidden},
		{name: "deadline is not a number", path: chat, body: chatBody, header: []string{headerDeadline, "soon"}, status: 400, reason: outcome.BadRequest},
		{name: "deadline of zero", path: chat, body: chatBody, header: []string{headerDeadline, "0"}, status: 400, reason: outcome.BadRequest},
		{name: "deadline too long", path: chat, body: chatBody, header: []string{headerDeadline, "99999999999999999999"}, status: 400, reason: outcome.BadRequest},
		{name: "not JSON", path: chat, body: `{"model":`, status: 400, reason: outcome.BadRequest},
		{name: "two documents", path: chat, body: chatBody + chatBody, status: 400, reason: outcome.BadRequest},
		{name: "no body", path: chat, status: 400, reason: outcome.BadRequest},
		{name: "model of another type", path: chat, body: `{"model":7}`, status: 400, reason: outcome.BadRequest, param: "model"},
		{name: "no model", path: chat, body: `{"messages":[{"role":"user"}]}`, status: 400, reason: outcome.BadRequest, param: "model"},
		{name: "unknown model", path: chat, body: `{"model":"x","messages":[{"role":"user"}]}`, status: 404, reason: outcome.UnknownPool, param: "model"},
		{name: "no messages", path: chat, body: `{"model":"draft-1"}`, status: 400, reason: outcome.BadRequest, param: "messages"},
		{name: "no role", path: chat, body: `{"model":"draft-1","messages":[{"content":"x"}]}`, status: 400, reason: outcome.BadRequest, param: "messages[0].role"},
		{name: "content is a number", path: chat, body: `{"model":"draft-1","messages":[{"role":"user","content":1}]}`, status: 400, reason: outcome.BadRequest, param: "messages[0].content"},
		{name: "limit of zero", path: chat, body: `{"model":"draft-1","max_tokens":0,"messages":[{"role":"user"}]}`, status: 400, reason: outcome.BadRequest, param: "max_tokens"},
		{name: "too many choices", path: chat, body: `{"model":"draft-1","n":1000,"messages":[{"role":"user"}]}`, status: 400, reason: outcome.BadRequest, param: "n"},
		{name: "no prompt", path: "/v1/completions", body: `{"model":"draft-1"}`, status: 400, reason: outcome.BadRequest, param: "prompt"},
		{name: "prompt is an object", path: "/v1/completions", body: `{"model":"draft-1","prompt":{}}`, status: 400, reason: outcome.BadRequest, param: "prompt"},
		{name: "body over the limit", path: chat, body: strings.Repeat("x", 5000), status: 413, reason: outcome.TooLarge},
		{name: "unknown service", path: "/services/x/y", status: 404, reason: outcome.UnknownPool},
		{name: "engine pool as a service", path: "/services/drafts/y", status: 404, reason: outcome.UnknownPool},
		{name: "marked non-idempotent without a key", path: chat, body: chatBody, header: []string{headerNonIdempotent, "true"}, status: 400, reason: outcome.KeyMissing},
		{name: "non-idempotent mark is not a boolean", path: chat, body: chatBody, header: []string{headerNonIdempotent, "yes"}, status: 400, reason: outcome.BadRequest},
		{name: "declared path without a key", path: "/services/filing/submit", status: 400, reason: outcome.KeyMissing},
		{name: "declared path, not normalized", path: "/services/filing/list/..//%73ubmit/7", status: 400, reason: outcome.KeyMissing},
		{name: "key too long", path: chat, body: chatBody, header: []string{headerIdempotencyKey, strings.Repeat("k", 300)}, status: 400, reason: outcome.BadRequest},
		{name: "no such path", path: "/v2/x", status: 404, reason: outcome.BadRequest},
		{name: "no such method", method: "GET", path: chat, status: 405, reason: outcome.BadRequest},
	}
	f := newFixture(t, func(o *Options) { o.Limits = config.Limits{MaxBodyBytes: 4096} })
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			method := c.method
			if method == "" {
				method = http.MethodPost
			}
			response, body := do(t, f.request(method, c.path, c.body, c.header...))
			e := errorOf(t, body)
			if response.StatusCode != c.status || e.Code != c.reason || e.Outcome != outcome.NotRun {
				t.Fatalf("status %d, error %+v", response.StatusCode, e)
			}
			if c.param != "" && (e.Param == nil || *e.Param != c.param) {
				t.Errorf("error has param %v, want %s", e.Param, c.param)
			}
			if response.Header.Get(headerOutcome) != string(outcome.NotRun) || response.Header.Get(headerReason) != string(c.reason) {
				t.Errorf("response headers are %v", response.Header)
			}
		})
	}
	if n := len(f.admitter.received()); n != 0 {
		t.Errorf("%d slots were requested", n)
	}
}

func TestNoSettingsYet(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Settings = &fakeSource{} })
	for _, path := range []string{"/v1/chat/completions", "/v1/models"} {
		method := http.MethodPost
		if path == "/v1/models" {
			method = http.MethodGet
		}
		response, body := do(t, f.request(method, path, chatBody))
		if e := errorOf(t, body); response.StatusCode != http.StatusServiceUnavailable || e.Code != outcome.NotReady {
			t.Errorf("%s: status %d, error %+v", path, response.StatusCode, e)
		}
	}
}

func TestModels(t *testing.T) {
	f := newFixture(t, nil)
	response, body := do(t, f.request("GET", "/v1/models", ""))
	const want = `{"object":"list","data":[{"id":"draft-1","object":"model","created":0,"owned_by":"cornelyard"}]}`
	if response.StatusCode != http.StatusOK || strings.TrimSpace(body) != want {
		t.Errorf("status %d, body %s", response.StatusCode, body)
	}
}

// FuzzDecode checks that neither decoder panics and that accepted requests are
// within the limits.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		chatBody, streamBody, `{"model":"m","prompt":"x"}`, `{"model":"m","prompt":["a","b"],"n":2,"max_tokens":3}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, `{`, `null`, `[]`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (*generationRequest, *bodyError){decodeChat, decodeCompletion} {
			g, invalid := decode(body)
			if (g == nil) == (invalid == nil) {
				t.Fatalf("decoded %v with error %v; want exactly one of them", g, invalid)
			}
			if invalid != nil {
				continue
			}
			if g.model == "" || g.maxTokens < 0 || g.maxTokens > maxTokensLimit*maxChoices || len(g.prefix) > maxPrefixBlocks {
				t.Errorf("accepted a request beyond the limits: %+v", g)
			}
		}
	})
}

func TestPrefixHashes(t *testing.T) {
	block := strings.Repeat("a", prefixBlockBytes)
	cases := []struct {
		name         string
		one, other   string
		shared, size int
	}{
		{name: "shorter than a block", one: "x", other: "x"},
		{name: "same", one: block + block, other: block + block, shared: 2, size: 2},
		{name: "different last blocks", one: block + block + "x", other: block + strings.Repeat("b", prefixBlockBytes), shared: 1, size: 2},
		{name: "different first blocks", one: "x" + block + block, other: "y" + block + block, size: 2},
		{name: "bounded", one: strings.Repeat(block, 100), other: strings.Repeat(block, 200), shared: maxPrefixBlocks, size: maxPrefixBlocks},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			one, other := prefixHashes([]byte(c.one)), prefixHashes([]byte(c.other))
			shared := 0
			for shared < min(len(one), len(other)) && one[shared] == other[shared] {
				shared++
			}
			if shared != c.shared || len(one) != c.size {
				t.Errorf("%d of %d hashes are equal", shared, len(one))
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget()
	allowed := 0
	for range 10 * retryBurst {
		if budget.allowRetry() {
			allowed++
		}
	}
	if allowed != retryBurst {
		t.Errorf("%d retries allowed before the first request", allowed)
	}
	for range 10 {
		budget.recordRequest()
	}
	allowed = 0
	for budget.allowRetry() {
		allowed++
	}
	if allowed < 1 || allowed > 2 {
		t.Errorf("%d retries allowed by ten requests, want 1 or 2", allowed)
	}
}

func TestOversizedChunkedBodyIsNotRead(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Limits = config.Limits{MaxBodyBytes: 16} })
	r := f.request("POST", "/v1/chat/completions", "")
	r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20)))
	r.ContentLength = -1
	response, body := do(t, r)
	if e := errorOf(t, body); response.StatusCode != http.StatusRequestEntityTooLarge || e.Code != outcome.TooLarge {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
}
