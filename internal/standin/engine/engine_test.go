package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/standin"
)

const testTimeout = 10 * time.Second

// fixture is a running engine. Its HTTP server is configured as Serve does, so that
// the engine recognizes reused connections.
type fixture struct {
	t       *testing.T
	engine  *Engine
	url     string
	client  *http.Client
	crashed chan struct{}
}

func startEngine(t *testing.T, o Options) *fixture {
	t.Helper()
	f := &fixture{t: t, client: &http.Client{Transport: &http.Transport{}}, crashed: make(chan struct{})}
	o.DecodeGap = time.Millisecond
	o.Crash = func() { close(f.crashed) }
	f.engine = New(o)
	server := httptest.NewUnstartedServer(f.engine.Handler())
	standin.ConfigureServer(server.Config)
	server.Start()
	f.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		_ = f.engine.Run(ctx)
	}()
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
		cancel()
		<-runEnded
	})
	return f
}

func (f *fixture) post(ctx context.Context, id string, request Request) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set(requestIDHeader, id)
	return f.client.Do(r)
}

func (f *fixture) waitFor(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func userMessages(text string) []Message {
	return []Message{{Role: "user", Content: Content(text)}}
}

// streamResult is the content of a stream.
type streamResult struct {
	text  string
	ids   []string
	last  int
	done  bool
	usage *usage
}

func readStream(body io.Reader) streamResult {
	var s streamResult
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if offset, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(offset)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		s.add(data)
	}
	return s
}

func (s *streamResult) add(data string) {
	var c chunk
	if json.Unmarshal([]byte(data), &c) != nil {
		return
	}
	s.ids = append(s.ids, c.ID)
	if len(c.Choices) > 0 {
		s.text += c.Choices[0].Delta.Content
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
}

func (f *fixture) stream(id, prompt string, tokens int) streamResult {
	f.t.Helper()
	response, err := f.post(context.Background(), id, Request{
		Model: "m", Messages: userMessages(prompt), MaxTokens: tokens,
		Stream: true, StreamOptions: &StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get(requestIDHeader); got != id {
		f.t.Logf("response has request ID %q", got)
	}
	return readStream(response.Body)
}

func TestStreamIsComplete(t *testing.T) {
	f := startEngine(t, Options{})
	got := f.stream("r1", "hello", 20)
	if want := ResponseText(ChatPrompt(userMessages("hello")), 20); got.text != want || !got.done {
		t.Fatalf("stream text is %q, done %v; want %q", got.text, got.done, want)
	}
	if got.usage == nil || got.usage.CompletionTokens != 20 {
		t.Fatalf("usage is %+v", got.usage)
	}
	for _, id := range got.ids {
		if id != "chatcmpl-r1" {
			t.Fatalf("chunk ID is %q, want chatcmpl-r1", id)
		}
	}
}

func TestCompleteResponse(t *testing.T) {
	f := startEngine(t, Options{})
	prompt := "hello " + LengthMarker(7)
	response, err := f.post(context.Background(), "r1", Request{Model: "m", Messages: userMessages(prompt), MaxTokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var c chunk
	if err := json.NewDecoder(response.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	want := ResponseText(ChatPrompt(userMessages(prompt)), 7)
	if c.Choices[0].Message.Content != want || *c.Choices[0].FinishReason != "stop" {
		t.Fatalf("got %+v, want %q", c.Choices[0], want)
	}
}

func TestInterruptedStreamResumesSameRun(t *testing.T) {
	f := startEngine(t, Options{ResumeWindow: time.Minute})
	f.engine.SetFaults(Faults{RequestFaults: RequestFaults{CutAfterTokens: 5}})
	first := f.stream("r1", "hello", 20)
	if first.done || first.last != 5 {
		t.Fatalf("interrupted stream ended at token %d, done %v; want token 5, not done", first.last, first.done)
	}
	response, err := f.client.Get(f.url + "/v1/streams/r1?after=5")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	rest := readStream(response.Body)
	if want := ResponseText(ChatPrompt(userMessages("hello")), 20); first.text+rest.text != want || !rest.done {
		t.Fatalf("resumed text is %q, done %v; want %q", first.text+rest.text, rest.done, want)
	}
	record := f.engine.Record()
	if record.ReceivedCounts()["r1"] != 1 {
		t.Fatalf("want one run of r1, engine ran %+v", record.Runs)
	}
}

func TestAbandonedStreamIsCancelledAndCountsWastedPrefill(t *testing.T) {
	f := startEngine(t, Options{ResumeWindow: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := f.post(ctx, "r1", Request{Messages: userMessages("hello"), MaxTokens: 100_000, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	f.waitFor("the first token", func() bool { return f.engine.Record().Runs[0].Tokens > 0 })
	cancel()
	f.waitFor("the cancellation", func() bool { return f.engine.Record().Runs[0].State == RunCancelled })
	if record := f.engine.Record(); record.WastedPrefillTokens != record.PrefillTokens || record.PrefillTokens == 0 {
		t.Fatalf("wasted %d of %d prefill tokens, want all", record.WastedPrefillTokens, record.PrefillTokens)
	}
}

func TestCachedPrefixIsNotPrefilled(t *testing.T) {
	f := startEngine(t, Options{})
	prompt := strings.Repeat("0123456789abcdef", 64) // 256 tokens
	f.stream("r1", prompt, 1)
	f.stream("r2", prompt+" and more", 1)
	runs := f.engine.Record().Runs
	if runs[0].CachedTokens != 0 || runs[1].CachedTokens != 256 {
		t.Fatalf("first and second prompt had %d and %d cached tokens, want 0 and 256", runs[0].CachedTokens, runs[1].CachedTokens)
	}
	if want := runs[1].PromptTokens - 256; runs[1].PrefillTokens != want {
		t.Fatalf("second prompt had %d tokens computed, want %d", runs[1].PrefillTokens, want)
	}
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cache := newPrefixCache(2)
	cache.add([]uint64{1, 2})
	cache.match([]uint64{1})
	cache.add([]uint64{3})
	if cache.match([]uint64{1}) != 1 || cache.match([]uint64{2}) != 0 {
		t.Fatal("want block 2 evicted and block 1 kept")
	}
}

func TestResponseFaults(t *testing.T) {
	want := ResponseText(ChatPrompt(userMessages("hello")), 6)
	cases := []struct {
		name   string
		faults RequestFaults
		check  func(s streamResult) bool
	}{
		{"skip", RequestFaults{SkipFrame: 3}, func(s streamResult) bool { return len(s.text) == len(want)-9 }},
		{"repeat", RequestFaults{RepeatFrame: 3}, func(s streamResult) bool { return len(s.text) == len(want)+9 }},
		{"wrong id", RequestFaults{WrongID: true}, func(s streamResult) bool { return s.ids[0] == "chatcmpl-"+wrongID }},
		{"late", RequestFaults{ResponseDelayMs: 5}, func(s streamResult) bool { return s.text == want && s.done }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startEngine(t, Options{})
			f.engine.SetFaults(Faults{Times: 1, RequestFaults: c.faults})
			if got := f.stream("r1", "hello", 6); !c.check(got) {
				t.Fatalf("got %+v", got)
			}
			if got := f.stream("r2", "hello", 6); got.text != want {
				t.Fatalf("fault applies to a second request: %+v", got)
			}
		})
	}
}

func TestResponsesAreSwapped(t *testing.T) {
	f := startEngine(t, Options{})
	f.engine.SetFaults(Faults{Times: 2, RequestFaults: RequestFaults{SwapResponses: true}})
	other := make(chan streamResult)
	go func() { other <- f.stream("r1", "one", 5) }()
	second, first := f.stream("r2", "two", 5), <-other
	if first.ids[0] != "chatcmpl-r2" || second.ids[0] != "chatcmpl-r1" {
		t.Fatalf("responses have IDs %q and %q", first.ids[0], second.ids[0])
	}
	if second.text != ResponseText(ChatPrompt(userMessages("one")), 5) {
		t.Fatalf("second request received %q", second.text)
	}
}

func TestNeverEndingStreamStaysOpen(t *testing.T) {
	f := startEngine(t, Options{})
	f.engine.SetFaults(Faults{RequestFaults: RequestFaults{NeverEnd: true}})
	ctx, cancel := context.WithCancel(context.Background())
	response, err := f.post(ctx, "r1", Request{Messages: userMessages("hello"), MaxTokens: 3, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	f.waitFor("the end of the run", func() bool { return f.engine.Record().Runs[0].State == RunFinished })
	time.AfterFunc(20*time.Millisecond, cancel)
	if got := readStream(response.Body); got.done || got.last != 3 {
		t.Fatalf("got %+v", got)
	}
}

func TestReusedConnectionIsClosedAfterRequest(t *testing.T) {
	f := startEngine(t, Options{})
	f.stream("r1", "hello", 1)
	f.engine.SetFaults(Faults{RequestFaults: RequestFaults{CloseReused: true}})
	response, err := f.post(context.Background(), "r2", Request{Messages: userMessages("hello")})
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("request got a response on a reused connection")
	}
	record := f.engine.Record()
	if record.ReceivedCounts()["r2"] != 1 {
		t.Fatalf("want one run of r2, engine received %+v", record.Runs)
	}
}

func TestLeavingEngineRejectsRequests(t *testing.T) {
	f := startEngine(t, Options{})
	f.engine.SetFaults(Faults{Leaving: true})
	response, err := f.post(context.Background(), "r1", Request{Messages: userMessages("hello")})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(leavingHeader) != "true" {
		t.Fatalf("got status %d", response.StatusCode)
	}
	if record := f.engine.Record(); len(record.Runs) != 0 || record.Refused["r1"] != 1 {
		t.Fatalf("want no run and one refusal of r1, engine recorded %+v", record)
	}
}

func TestCrashMarkerCrashesEngine(t *testing.T) {
	f := startEngine(t, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() {
		if response, err := f.post(ctx, "r1", Request{Messages: userMessages("boom " + DefaultCrashMarker)}); err == nil {
			_ = response.Body.Close()
		}
	}()
	select {
	case <-f.crashed:
	case <-ctx.Done():
		t.Fatal("engine did not crash on a marked prompt")
	}
}

func TestEngineContinuesAfterFreeze(t *testing.T) {
	f := startEngine(t, Options{})
	f.engine.SetFaults(Faults{Freeze: true})
	answer := make(chan streamResult)
	go func() { answer <- f.stream("r1", "hello", 5) }()
	time.Sleep(20 * time.Millisecond)
	if runs := f.engine.Record().Runs; len(runs) != 0 {
		t.Fatalf("frozen engine accepted %+v", runs)
	}
	f.engine.SetFaults(Faults{})
	if got := <-answer; got.text != ResponseText(ChatPrompt(userMessages("hello")), 5) {
		t.Fatalf("got %+v", got)
	}
}

func TestStepDurationGrowsWithBatchAndSlowFactor(t *testing.T) {
	o := Options{DecodeGap: 10 * time.Millisecond, GapGrowth: 0.1, PrefillRate: 1000}
	decoding, prompt := &run{}, &run{prefillLeft: 2000}
	cases := []struct {
		name  string
		batch []*run
		want  time.Duration
	}{
		{"one", []*run{decoding}, 10 * time.Millisecond},
		{"three", []*run{decoding, decoding, decoding}, 12 * time.Millisecond},
		{"a chunk of a prompt", []*run{prompt}, 512 * time.Millisecond},
		{"both", []*run{prompt, decoding, prompt}, 522 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := planStep(c.batch, o).duration; got != c.want {
				t.Fatalf("step takes %v, want %v", got, c.want)
			}
		})
	}
	e := New(o)
	running := &run{record: RunRecord{State: RunRunning}}
	e.batch = []*run{running}
	e.SetFaults(Faults{SlowFactor: 10})
	if step, _ := e.nextStep(time.Time{}); step.duration != 100*time.Millisecond {
		t.Fatalf("step with SlowFactor 10 takes %v, want 100ms", step.duration)
	}
}

func TestLoadReportLags(t *testing.T) {
	var history loadHistory
	start := time.Unix(100, 0)
	history.record(start, 1, 0)
	history.record(start.Add(time.Second), 2, 3)
	if load := history.at(start.Add(900 * time.Millisecond)); load.Running != 1 || load.Waiting != 0 {
		t.Fatalf("load before the change is %+v", load)
	}
	if load := history.at(start.Add(time.Second)); load.Running != 2 || load.Waiting != 3 {
		t.Fatalf("load after the change is %+v", load)
	}
}
