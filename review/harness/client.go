package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Client sends requests to one host, each on a new connection.
type Client struct {
	Host   *Gateway
	Record *Record
}

// Event is one event of a stream as the client got it.
type Event struct {
	Number   int
	Replica  string `json:"replica"`
	Software string `json:"software"`
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int
	Signed bool
	Body   string
	Events []Event
	// Whole says that the answer ended as complete.
	Whole bool
	// RetryAfter is how long the host asked the client to wait.
	RetryAfter time.Duration
}

// NewID returns a new ID of a client attempt.
func NewID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// Post sends a request and reads the answer to its end.
func (c *Client) Post(ctx context.Context, path string, body []byte, deadline time.Duration, header map[string]string) Answer {
	a := Answer{ID: NewID(), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Host.Caller+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	request.GetBody = nil
	request.Host = HostName
	request.Header.Set("Attempt-Id", a.ID)
	request.Header.Set("Credential", Key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.Record.Printf("client %s at %s, %s: no answer: %v", a.ID, c.Host.Name, path, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.Status, a.Signed = response.StatusCode, response.Header.Get("Server-Signature") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.Events, err = readEvents(response.Body)
	} else {
		var text []byte
		text, err = io.ReadAll(response.Body)
		a.Body = string(text)
	}
	a.Whole = err == nil
	c.Record.Printf("client %s at %s, %s: status %d, whole %v, %d events %s%s", a.ID, c.Host.Name, path, a.Status, a.Whole, len(a.Events), Spans(a.Events), a.Body)
	return a
}

// readEvents reads a stream to its end.
func readEvents(r io.Reader) ([]Event, error) {
	var events []Event
	var e Event
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		line = strings.TrimSpace(line)
		switch {
		case line == "":
			events, e = append(events, e), Event{}
		case strings.HasPrefix(line, "id: "):
			e.Number, err = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			err = json.Unmarshal([]byte(line[6:]), &e)
		}
		if err != nil {
			return events, err
		}
	}
}

// Spans says which replica and software brought which events.
func Spans(events []Event) string {
	var b strings.Builder
	for i := 0; i < len(events); {
		j := i
		for j+1 < len(events) && events[j+1].Replica == events[i].Replica && events[j+1].Software == events[i].Software {
			j++
		}
		b.WriteString("[" + strconv.Itoa(events[i].Number) + "-" + strconv.Itoa(events[j].Number) + " of " + events[i].Replica + " " + events[i].Software + "]")
		i = j + 1
	}
	return b.String()
}

// Software returns the software versions that brought events.
func Software(events []Event) map[string]bool {
	versions := make(map[string]bool)
	for _, e := range events {
		versions[e.Software] = true
	}
	return versions
}
