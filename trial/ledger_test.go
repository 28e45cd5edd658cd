package trial

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/tabletest"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	digest = quarantine.Digest(7)
	lease  = 2 * time.Second
)

// fixture is a set of hosts that share a table and a clock.
type fixture struct {
	t *testing.T
	// elapsed is the time on the clock of all hosts, in nanoseconds.
	elapsed atomic.Int64
	table   *tabletest.Table
	hosts   []*Ledger
}

func newFixture(t *testing.T, hosts int) *fixture {
	f := &fixture{t: t, table: tabletest.New()}
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	return f
}

func (f *fixture) newHost(i int) *Ledger {
	return NewLedger(Options{
		Table: f.table, Host: ident.Host(fmt.Sprintf("h%d", i)), Now: f.now,
		Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	})
}

func (f *fixture) now() time.Time {
	return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(time.Duration(f.elapsed.Load()))
}

func (f *fixture) advance(d time.Duration) { f.elapsed.Add(int64(d)) }

func (f *fixture) begin(host int) *Run {
	f.t.Helper()
	run, denial := f.hosts[host].Begin(f.t.Context(), []quarantine.Digest{digest}, lease)
	if denial != nil {
		f.t.Fatalf("host %d: trial denied: %+v", host, *denial)
	}
	return run
}

func (f *fixture) checkDenied(host int, want Cause) {
	f.t.Helper()
	_, denial := f.hosts[host].Begin(f.t.Context(), []quarantine.Digest{digest}, lease)
	if denial == nil || denial.Cause != want || denial.RetryAfter <= 0 {
		f.t.Fatalf("host %d: got denial %+v, want %s with a retry delay", host, denial, want)
	}
}

// end ends a trial and waits until that is stored.
func (f *fixture) end(run *Run, result Result) {
	f.t.Helper()
	run.End(result)
	run.ledger.background.Wait()
}

func TestOneTrialIsInFlightOverAllHosts(t *testing.T) {
	f := newFixture(t, 3)
	run := f.begin(0)
	if run.Number() != 1 {
		t.Errorf("got trial number %d, want 1", run.Number())
	}
	for host := range f.hosts {
		f.checkDenied(host, InProgress)
	}
	f.end(run, Inconclusive)
	f.advance(refreshInterval)
	next := f.begin(1)
	if next.Number() != 2 {
		t.Errorf("got trial number %d, want 2", next.Number())
	}
	f.checkDenied(2, InProgress)
}

func TestContentThatSurvivedATrialStartsAnew(t *testing.T) {
	f := newFixture(t, 2)
	f.end(f.begin(0), Inconclusive)
	f.end(f.begin(1), Survived)
	if f.table.Len() != 0 {
		t.Errorf("%d rows are left, want none", f.table.Len())
	}
	if run := f.begin(0); run.Number() != 1 {
		t.Errorf("got trial number %d, want 1", run.Number())
	}
}

func TestCrashingContentGetsNoMoreThanThreeTrialsForGood(t *testing.T) {
	f := newFixture(t, 4)
	runs := 0
	for minute := range 48 * 60 {
		f.advance(time.Minute)
		if minute%300 == 0 {
			f.hosts[minute/300%len(f.hosts)] = f.newHost(minute)
		}
		if minute%60 == 0 {
			scan := ScanOptions{Sweeps: func() bool { return true }, OnContents: func([]quarantine.Digest) {}}
			if err := f.hosts[0].scan(t.Context(), scan); err != nil {
				t.Fatal(err)
			}
		}
		host := f.hosts[minute%len(f.hosts)]
		run, denial := host.Begin(t.Context(), []quarantine.Digest{digest}, lease)
		host.background.Wait()
		if denial == nil {
			runs++
			f.end(run, Crashed)
			continue
		}
		if denial.Cause != Exhausted {
			t.Fatalf("minute %d: got denial %+v, want %s", minute, *denial, Exhausted)
		}
	}
	if runs > maxRuns {
		t.Errorf("%d trials in two days, want at most %d", runs, maxRuns)
	}
}

func TestSecondTrialAfterACrashWaits(t *testing.T) {
	f := newFixture(t, 2)
	f.end(f.begin(0), Crashed)
	f.checkDenied(0, Exhausted)
	f.checkDenied(1, Exhausted)
	f.advance(appealDelay)
	f.end(f.begin(1), Survived)
}

func TestInconclusiveTrialsAreForgotten(t *testing.T) {
	f := newFixture(t, 2)
	for n := range maxRuns {
		f.end(f.begin(n%2), Inconclusive)
	}
	f.checkDenied(0, Exhausted)
	f.checkDenied(1, Exhausted)
	f.advance(restartDelay)
	if run := f.begin(0); run.Number() != 1 {
		t.Errorf("got trial number %d, want 1", run.Number())
	}
}

func TestTrialThatReachedNoTargetDoesNotCount(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 * maxRuns {
		f.end(f.begin(0), Withdrawn)
	}
	if run := f.begin(0); run.Number() != 1 {
		t.Errorf("got trial number %d, want 1", run.Number())
	}
}

func TestTrialOfHostThatIsGoneEndsWithItsLease(t *testing.T) {
	f := newFixture(t, 2)
	f.begin(0)
	f.checkDenied(1, InProgress)
	f.advance(lease)
	if run := f.begin(1); run.Number() != 2 {
		t.Errorf("got trial number %d, want 2", run.Number())
	}
}

func TestHostPermitsItselfOneTrialWhileTheTableIsAway(t *testing.T) {
	f := newFixture(t, 1)
	for _, err := range []error{storage.ErrUnavailable, storage.ErrUnknownOutcome} {
		f.table.Fail(err, false)
		run := f.begin(0)
		if run.Stored() {
			t.Error("the trial counts as stored")
		}
		f.checkDenied(0, InProgress)
		f.end(run, Inconclusive)
	}
}

func TestLostConfirmationKeepsOtherHostsFromATrial(t *testing.T) {
	f := newFixture(t, 2)
	f.table.Fail(storage.ErrUnknownOutcome, true)
	f.begin(0)
	f.table.Fail(nil, false)
	f.checkDenied(1, InProgress)
}

func TestEndOfTrialWhoseLeaseIsOverChangesNothing(t *testing.T) {
	f := newFixture(t, 2)
	late := f.begin(0)
	f.checkDenied(1, InProgress)
	f.advance(lease)
	f.begin(1)
	f.end(late, Survived)
	if f.table.Len() != 1 {
		t.Error("the end of the first trial removed the row of the second")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	f := newFixture(t, 1)
	for n := range 2 * maxContents {
		run, denial := f.hosts[0].Begin(t.Context(), []quarantine.Digest{quarantine.Digest(n + 1)}, lease)
		if denial != nil {
			t.Fatal(denial)
		}
		f.hosts[0].release(run.suspects)
	}
	if n := len(f.hosts[0].contents); n > maxContents {
		t.Errorf("%d contents in memory, want at most %d", n, maxContents)
	}
}

func TestScanReturnsContentsOnTrial(t *testing.T) {
	f := newFixture(t, 2)
	f.end(f.begin(0), Crashed)
	var contents []quarantine.Digest
	scan := ScanOptions{Sweeps: func() bool { return true }, OnContents: func(all []quarantine.Digest) { contents = all }}
	for _, want := range []int{1, 0} {
		if err := f.hosts[1].scan(t.Context(), scan); err != nil {
			t.Fatal(err)
		}
		f.advance(quarantine.Retention + time.Minute)
		if len(contents) != 1 || contents[0] != digest {
			t.Errorf("got contents %v, want %s", contents, digest)
		}
		if n := f.table.Len(); n != want {
			t.Errorf("%d rows are left, want %d", n, want)
		}
	}
}

func TestTrialsWithACommonSuspectAreNotInFlightTogether(t *testing.T) {
	f := newFixture(t, 2)
	run, denial := f.hosts[0].Begin(t.Context(), []quarantine.Digest{1, 2}, lease)
	if denial != nil {
		t.Fatal(denial)
	}
	if _, denial := f.hosts[1].Begin(t.Context(), []quarantine.Digest{2, 3}, lease); denial == nil || denial.Cause != InProgress {
		t.Errorf("got denial %+v, want %s", denial, InProgress)
	}
	other, denial := f.hosts[1].Begin(t.Context(), []quarantine.Digest{3}, lease)
	if denial != nil {
		t.Fatalf("a trial without a common suspect: denied: %+v", denial)
	}
	f.end(run, Inconclusive)
	f.end(other, Survived)
	f.advance(refreshInterval)
	if _, denial := f.hosts[1].Begin(t.Context(), []quarantine.Digest{2, 3}, lease); denial != nil {
		t.Errorf("after the end: denied: %+v", denial)
	}
}

func TestSuspectBesideAConvictedOneHasFurtherTrials(t *testing.T) {
	f := newFixture(t, 2)
	run, denial := f.hosts[0].Begin(t.Context(), []quarantine.Digest{1, 2}, lease)
	if denial != nil {
		t.Fatal(denial)
	}
	run.EndConvicting(Crashed, []quarantine.Digest{1})
	f.hosts[0].background.Wait()
	if _, denial := f.hosts[1].Begin(t.Context(), []quarantine.Digest{2}, lease); denial != nil {
		t.Errorf("denied: %+v", denial)
	}
	if _, denial := f.hosts[1].Begin(t.Context(), []quarantine.Digest{1}, lease); denial == nil || denial.Cause != Exhausted {
		t.Errorf("got denial %+v, want %s", denial, Exhausted)
	}
}
