package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/tcptest"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/target"
)

// openStream starts a stream and reads the first line of its first event.
func (f *fixture) openStream() (*http.Response, *bufio.Reader) {
	f.t.Helper()
	deadline := strconv.FormatInt(waitLimit.Milliseconds(), 10)
	response, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamBody, headerDeadline, deadline))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = response.Body.Close() })
	reader := bufio.NewReader(response.Body)
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "id: 1") {
		f.t.Fatalf("first line %q, error %v", line, err)
	}
	return response, reader
}

// checkInterruptedStream reads the rest of a stream, which must end with an error
// event.
func checkInterruptedStream(t *testing.T, response *http.Response, rest io.Reader, reason outcome.Reason) {
	t.Helper()
	body, err := io.ReadAll(rest)
	if err != nil {
		t.Fatal(err)
	}
	events := strings.Split(strings.TrimSpace(string(body)), "\n\n")
	last := strings.TrimPrefix(events[len(events)-1], "data: ")
	e := errorOf(t, last)
	if e.Code != reason || e.Outcome != outcome.Interrupted || strings.Contains(string(body), "[DONE]") {
		t.Errorf("the stream ends with %s", last)
	}
	if got := response.Trailer.Get(headerOutcome); got != string(outcome.Interrupted) {
		t.Errorf("outcome trailer is %q", got)
	}
}

func (f *fixture) checkEnd(reason outcome.Reason) {
	f.t.Helper()
	end := f.awaitEnd()
	if end.Outcome != outcome.Interrupted || end.Reason != reason || end.Tokens != 1 {
		f.t.Errorf("end is %+v", end)
	}
}

func TestPreemptionMidStream(t *testing.T) {
	f := newFixture(t, nil, engineTarget(streamingEngine(t, 3, make(chan struct{}))))
	response, rest := f.openStream()
	f.admitter.grant(0).preempted <- &outcome.Refusal{
		Outcome: outcome.Interrupted, Reason: outcome.Preempted, Message: "a higher tier needs the slot", RetryAfter: time.Second,
	}
	checkInterruptedStream(t, response, rest, outcome.Preempted)
	f.checkEnd(outcome.Preempted)
}

func TestDeadlineMidStream(t *testing.T) {
	f := newFixture(t, nil, engineTarget(streamingEngine(t, 3, make(chan struct{}))))
	r := f.request("POST", "/v1/chat/completions", streamBody, headerDeadline, "400")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	checkInterruptedStream(t, response, response.Body, outcome.DeadlineExceeded)
	f.checkEnd(outcome.DeadlineExceeded)
}

func TestDeadlineInTheQueue(t *testing.T) {
	f := newFixture(t, nil)
	f.admitter.block = true
	response, body := do(t, f.request("POST", "/v1/chat/completions", chatBody, headerDeadline, "50"))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusGatewayTimeout || e.Outcome != outcome.NotRun || e.Code != outcome.DeadlineExceeded {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
}

func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, nil, engineTarget(streamingEngine(t, 3, make(chan struct{}))))
	response, _ := f.openStream()
	_ = response.Body.Close()
	f.checkEnd(outcome.CallerDisconnected)
	eventually(t, "the request is no longer in flight", func() bool { return f.entry.inFlight.size() == 0 })
}

// TestSlowCaller checks that a caller that stops reading does not delay another
// caller's stream of the same length, and that its own stream completes once it
// reads again.
func TestSlowCaller(t *testing.T) {
	// The stream is larger than the socket buffers between engine and caller.
	const tokens, padding = 1500, 16 << 10
	engine := paddedEngine(t, tokens, padding)
	f := newFixture(t, func(o *Options) { o.Limits.StreamBufferBytes = 8 << 10 }, engineTarget(engine))
	_, slow := f.openStream()
	fast, err := http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", streamBody))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fast.Body.Close() }()
	checkCompleteStream(t, fast.Body)
	if _, ends := f.admitter.grant(0).returned(); len(ends) != 0 {
		t.Fatal("the slow caller's stream ended; the test needs a longer stream")
	}
	checkCompleteStream(t, slow)
}

// paddedEngine streams large frames.
func paddedEngine(t *testing.T, n, padding int) *httptest.Server {
	t.Helper()
	content := strings.Repeat("x", padding)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		w.Header().Set("Content-Type", contentTypeStream)
		for i := 1; i <= n; i++ {
			frame := strings.Replace(tokenFrame(id, i), "t"+strconv.Itoa(i), content, 1)
			if _, err := io.WriteString(w, frame); err != nil {
				return
			}
		}
		_, _ = io.WriteString(w, finishFrames(id, n))
	}))
	t.Cleanup(server.Close)
	return server
}

func checkCompleteStream(t *testing.T, r io.Reader) {
	t.Helper()
	last := ""
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if line := lines.Text(); line != "" {
			last = line
		}
	}
	if last != "data: [DONE]" {
		t.Errorf("the stream ends with %q", last)
	}
}

func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(target.HeaderDispatch)
		w.Header().Set(target.HeaderDispatch, id)
		w.Header().Set("Content-Type", contentTypeStream)
		_, _ = io.WriteString(w, tokenFrame(id, 1)+strings.ReplaceAll(tokenFrame("of-another", 2), "t2", "SECRET")+finishFrames(id, 2))
	}))
	t.Cleanup(engine.Close)
	f := newFixture(t, nil, engineTarget(engine))
	response, rest := f.openStream()
	body, err := io.ReadAll(rest)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(body), "SECRET") || strings.Contains(string(body), "[DONE]") {
		t.Errorf("the caller got %s", body)
	}
	if !strings.Contains(string(body), string(outcome.TargetFailed)) || response.Trailer.Get(headerReason) != string(outcome.TargetFailed) {
		t.Errorf("the failure was not reported to the caller: %s", body)
	}
}

// TestReportedOutcomeMatchesTarget compares the outcome reported to the caller and
// to the pool owner with what the target did.
func TestReportedOutcomeMatchesTarget(t *testing.T) {
	cases := []struct {
		name string
		// script is what the target writes after it has read the request, before it
		// closes the connection.
		script   string
		listen   bool
		lease    time.Duration
		attempts int
		result   outcome.Outcome
		reason   outcome.Reason
		// ends makes the target refuse connections after the first one.
		ends          bool
		lost, crashed bool
	}{
		{name: "dial refused", lease: time.Minute, attempts: maxAttempts, result: outcome.NotRun, reason: outcome.NoTarget},
		{name: "grant expired", listen: true, lease: -time.Second, attempts: maxAttempts, result: outcome.NotRun, reason: outcome.NoTarget},
		{name: "closed after the request", listen: true, lease: time.Minute, attempts: 1, result: outcome.Unknown, reason: outcome.TargetFailed, lost: true},
		{name: "closed in the head", listen: true, script: "HTTP/1.1 200", lease: time.Minute, attempts: 1, result: outcome.Unknown, reason: outcome.TargetFailed, lost: true},
		{name: "short body", listen: true, script: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", lease: time.Minute, attempts: 1, result: outcome.Interrupted, reason: outcome.TargetFailed, lost: true},
		{name: "ended after the request", listen: true, ends: true, lease: time.Minute, attempts: 1, result: outcome.Unknown, reason: outcome.TargetFailed, lost: true, crashed: true},
		{name: "ended in the body", listen: true, ends: true, script: "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort", lease: time.Minute, attempts: 1, result: outcome.Interrupted, reason: outcome.TargetFailed, lost: true, crashed: true},
		{name: "draining", listen: true, script: "HTTP/1.1 503 X\r\nX-Target-Leaving: true\r\nContent-Length: 0\r\n\r\n", lease: time.Minute, attempts: maxAttempts, result: outcome.NotRun, reason: outcome.NoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := closedTarget(t)
			if c.listen {
				at = scriptedTarget(t, c.script)
			}
			if c.ends {
				at = endingTarget(t, c.script)
			}
			f := newFixture(t, nil, at)
			f.admitter.lease = c.lease
			_, body := do(t, f.request("POST", "/services/filing/list", "x"))
			e := errorOf(t, body)
			if e.Outcome != c.result || e.Code != c.reason {
				t.Errorf("the caller got outcome %s, reason %s", e.Outcome, e.Code)
			}
			if n := len(f.admitter.received()); n != c.attempts {
				t.Errorf("%d grants were used", n)
			}
			declines, ends := f.admitter.grant(0).returned()
			if len(declines)+len(ends) != 1 {
				t.Fatalf("the grant was returned with declines %v, ends %v", declines, ends)
			}
			if len(ends) == 1 && (ends[0].Outcome != c.result || ends[0].ConnectionLost != c.lost || ends[0].TargetCrashed != c.crashed) {
				t.Errorf("the pool owner got %+v", ends[0])
			}
		})
	}
}

// scriptedTarget returns a target that reads a request, writes script and closes
// the connection.
func scriptedTarget(t *testing.T, script string) settings.Target {
	t.Helper()
	address := tcptest.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, script)
	})
	return settings.Target{Name: "filing-1", Address: address}
}

// endingTarget is like scriptedTarget, but serves one connection only and refuses others
// before it closes that one.
func endingTarget(t *testing.T, script string) settings.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = listener.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, script)
	}()
	return settings.Target{Name: "filing-1", Address: listener.Addr().String()}
}

func closedTarget(t *testing.T) settings.Target {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return settings.Target{Name: "closed", Address: address}
}

// newDrainFixture returns a fixture whose entry runs Serve until stop is called.
func newDrainFixture(t *testing.T, timing config.Timing, engine *httptest.Server) (f *fixture, stop func(), stopped <-chan error) {
	t.Helper()
	f = newFixture(t, func(o *Options) { o.Timing = timing }, engineTarget(engine))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.server.URL = fmt.Sprintf("http://%s", listener.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- f.entry.Serve(ctx, listener) }()
	return f, cancel, ended
}

func TestDrainWaitsForStreams(t *testing.T) {
	gate := make(chan struct{})
	f, stop, stopped := newDrainFixture(t, config.Timing{}, streamingEngine(t, 3, gate))
	_, rest := f.openStream()
	stop()
	eventually(t, "new connections are refused", func() bool {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	select {
	case err := <-stopped:
		t.Fatalf("the entry stopped while a stream was open: %v", err)
	default:
	}
	close(gate)
	checkCompleteStream(t, rest)
	if err := <-stopped; err != nil {
		t.Errorf("drain: %v", err)
	}
}

func TestDrainLimitReportsCancelledStreams(t *testing.T) {
	timing := config.Timing{DrainLimit: settings.Duration(50 * time.Millisecond)}
	f, stop, stopped := newDrainFixture(t, timing, streamingEngine(t, 3, make(chan struct{})))
	response, rest := f.openStream()
	stop()
	checkInterruptedStream(t, response, rest, outcome.Draining)
	if err := <-stopped; err == nil {
		t.Error("the drain cancelled a stream and returned no error")
	}
}

func TestReadinessDuringDrain(t *testing.T) {
	timing := config.Timing{ReadinessDelay: settings.Duration(waitLimit)}
	f, stop, _ := newDrainFixture(t, timing, streamingEngine(t, 1, nil))
	if response, _ := do(t, f.request("GET", "/readyz", "")); response.StatusCode != http.StatusOK {
		t.Errorf("status %d before the drain", response.StatusCode)
	}
	stop()
	eventually(t, "the host is not ready", func() bool {
		response, _ := do(t, f.request("GET", "/readyz", ""))
		return response.StatusCode == http.StatusServiceUnavailable
	})
	response, body := do(t, f.request("POST", "/v1/chat/completions", streamBody))
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, connection kept open: %v, body %s", response.StatusCode, !response.Close, body)
	}
}

func TestOwnerRefusalIsForwarded(t *testing.T) {
	f := newFixture(t, nil)
	f.admitter.refusal = outcome.Refuse(outcome.Shed, "no capacity", 1500*time.Millisecond)
	response, body := do(t, f.request("POST", "/v1/chat/completions", chatBody))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusTooManyRequests || e.Code != outcome.Shed || e.Outcome != outcome.NotRun || e.RetryAfterMs != 1500 {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	if got := response.Header.Get(headerRetryAfter); got != "2" {
		t.Errorf("Retry-After is %q", got)
	}
	if len(f.admitter.received()) != 1 || f.admitter.received()[0].ExcludedTargets != nil {
		t.Errorf("the admitter received %+v", f.admitter.received())
	}
}

// TestRequestWithoutWholeBodyAtDrainLimitIsRefused guards against a connection that is closed without a response.
func TestRequestWithoutWholeBodyAtDrainLimitIsRefused(t *testing.T) {
	f, stop, stopped := newDrainFixture(t, config.Timing{DrainLimit: settings.Duration(100 * time.Millisecond)}, streamingEngine(t, 1, make(chan struct{})))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	head := f.request("POST", "/v1/chat/completions", "").Header
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n")
	_ = head.Write(conn)
	_, _ = io.WriteString(conn, "\r\n{")
	eventually(t, "the request is in flight", func() bool { return f.entry.inFlight.size() == 1 })
	stop()
	_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the caller got no response: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if e := errorOf(t, string(body)); response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun || e.Code != outcome.Draining {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	<-stopped
}
