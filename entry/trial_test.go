package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/tabletest"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/trial"
)

const suspectPath = "/services/filing/list"

// suspectDigest is the digest of the calls to suspectPath.
func suspectDigest() quarantine.Digest {
	return quarantine.ContentDigest("bureau", suspectPath, []byte("x"))
}

func newLedger(table *tabletest.Table, host ident.Host) *trial.Ledger {
	return trial.NewLedger(trial.Options{Table: table, Host: host, Logger: &log.Logger{Level: log.ErrorLevel}, Now: time.Now})
}

func TestSuspectCallIsRefusedWhileItRunsAtAnotherHost(t *testing.T) {
	table := tabletest.New()
	f := newFixture(t, func(o *Options) { o.Trials = newLedger(table, "host-1") }, scriptedTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.admitter.suspects = []quarantine.Digest{suspectDigest()}
	if _, denial := newLedger(table, "host-2").Begin(t.Context(), []quarantine.Digest{suspectDigest()}, time.Minute); denial != nil {
		t.Fatal(denial)
	}
	response, body := do(t, f.request("POST", suspectPath, "x"))
	if e := errorOf(t, body); response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun || e.Code != outcome.OnTrial {
		t.Errorf("got status %d with outcome %s and reason %s, want 503, not-run and %s", response.StatusCode, e.Outcome, e.Code, outcome.OnTrial)
	}
	if response.Header.Get("Retry-After") == "" {
		t.Error("the refusal has no Retry-After")
	}
	if declines, _ := f.admitter.grant(0).returned(); !slices.Equal(declines, []admission.DeclineCause{admission.DeclineTrial}) {
		t.Errorf("the grant was declined with %v, want %s", declines, admission.DeclineTrial)
	}
}

func TestEndOfSuspectCallEndsItsTrial(t *testing.T) {
	for name, c := range map[string]struct {
		target settings.Target
		next   trial.Cause
	}{
		"crash":           {target: endingTarget(t, ""), next: trial.Exhausted},
		"lost connection": {target: scriptedTarget(t, "")},
		"error response":  {target: scriptedTarget(t, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			table := tabletest.New()
			f := newFixture(t, func(o *Options) { o.Trials = newLedger(table, "host-1") }, c.target)
			f.admitter.suspects = []quarantine.Digest{suspectDigest()}
			do(t, f.request("POST", suspectPath, "x"))
			f.entry.executions.Wait()
			other := newLedger(table, "host-2")
			var denial *trial.Denial
			for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if _, denial = other.Begin(t.Context(), []quarantine.Digest{suspectDigest()}, time.Second); denial == nil || denial.Cause != trial.InProgress {
					break
				}
			}
			if got := denial != nil && denial.Cause == trial.Exhausted; got != (c.next == trial.Exhausted) {
				t.Errorf("the next trial got denial %+v, want %q", denial, c.next)
			}
		})
	}
}
