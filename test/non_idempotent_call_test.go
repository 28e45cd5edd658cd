package test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/outcome"
)

// nonIdempotentResult is the result of a non-idempotent call.
type nonIdempotentResult struct {
	status   int
	outcome  outcome.Outcome
	reason   outcome.Reason
	replayed bool
	body     string
	err      error
}

// callNonIdempotent makes a non-idempotent call with the key. The key is also in
// the body, by which the service counts the calls it receives per key.
func callNonIdempotent(ctx context.Context, host *testbed.Host, key, note string) nonIdempotentResult {
	body, err := json.Marshal(struct {
		Key  string `json:"idempotencyKey"`
		Note string `json:"note,omitempty"`
	}{key, note})
	if err != nil {
		return nonIdempotentResult{err: err}
	}
	url := host.CallerURL() + "/services/" + string(servicePool) + "/file"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return nonIdempotentResult{err: err}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+callerToken)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("X-Cornelyard-Non-Idempotent", "true")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nonIdempotentResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return nonIdempotentResult{
		status:   response.StatusCode,
		outcome:  outcome.Outcome(response.Header.Get("X-Cornelyard-Outcome")),
		reason:   outcome.Reason(response.Header.Get("X-Cornelyard-Reason")),
		replayed: response.Header.Get("X-Cornelyard-Replayed") == "true",
		body:     string(responseBody),
		err:      err,
	}
}

// countReceivedKeys counts the calls that the services received, by key.
func countReceivedKeys(t *testing.T, cluster *testbed.Cluster, services ...ident.Target) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, name := range services {
		record, err := cluster.Targets[name].ServiceRecord()
		if err != nil {
			t.Fatal(err)
		}
		for key, count := range record.ReceivedKeyCounts() {
			counts[key] += count
		}
	}
	return counts
}
