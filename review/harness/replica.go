package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/platform/platformtest"
)

const (
	// heartbeat is how often a replica writes its entry, and entryLife how long an entry stays after
	// the last one ("three heartbeat intervals of silence").
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
)

// ReplicaOptions describes a replica.
type ReplicaOptions struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Pieces and Gap are the number of events of a stream and the time between them.
	Pieces int
	Gap    time.Duration
	// Work is how long another request runs.
	Work   time.Duration
	Store  *platformtest.Store
	Record *Record
	// Cut reports whether the connection from a local address is cut: it is reset.
	Cut func(remote net.Addr) bool
}

// Replica is a model server or a plain service. It keeps its ID and address over restarts.
type Replica struct {
	options ReplicaOptions
	address string

	mu      sync.Mutex
	version string
	born    int64
	process *replicaProcess
	// beatAt is when it last wrote its entry.
	beatAt time.Time
	ended  chan struct{}
	ran    map[string]bool
}

// replicaProcess is one incarnation.
type replicaProcess struct {
	server  *http.Server
	version string
	running atomic.Int64
	mu      sync.Mutex
	conns   map[net.Conn]bool
	dead    bool
}

// NewReplica starts a replica.
func NewReplica(o ReplicaOptions, version string) (*Replica, error) {
	if o.Cut == nil {
		o.Cut = func(net.Addr) bool { return false }
	}
	r := &Replica{options: o, ended: make(chan struct{}), ran: make(map[string]bool)}
	if err := r.Start(version); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// Start starts the replica's next process. Its entry is written at once, if the store takes it.
func (r *Replica) Start(version string) error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	p := &replicaProcess{version: version, conns: make(map[net.Conn]bool)}
	p.server = &http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.serve(p, w, request) }),
		ConnState:         p.track,
	}
	r.mu.Lock()
	r.address, r.version, r.born, r.process = listener.Addr().String(), version, time.Now().UnixMilli(), p
	r.mu.Unlock()
	go func() { _ = p.server.Serve(&cutListener{Listener: listener, cut: r.options.Cut}) }()
	r.writeEntry()
	r.options.Record.Printf("replica %s starts with software %s", r.options.ID, version)
	return nil
}

func listen(address string) (net.Listener, error) {
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

// Crash ends the process without notice: its connections are reset.
func (r *Replica) Crash() {
	r.mu.Lock()
	p := r.process
	r.process = nil
	r.mu.Unlock()
	if p == nil {
		return
	}
	r.options.Record.Printf("replica %s (software %s) crashes", r.options.ID, p.version)
	p.mu.Lock()
	p.dead = true
	for conn := range p.conns {
		reset(conn)
	}
	p.mu.Unlock()
	_ = p.server.Close()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Ran reports whether the replica ran a request.
func (r *Replica) Ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

// CutNow resets the connections that are cut from now on.
func (r *Replica) CutNow() {
	r.mu.Lock()
	p := r.process
	r.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if r.options.Cut(conn.RemoteAddr()) {
			reset(conn)
		}
	}
}

// Stop ends the replica for good.
func (r *Replica) Stop() {
	select {
	case <-r.ended:
	default:
		close(r.ended)
	}
	r.Crash()
}

func (p *replicaProcess) track(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, conn)
	}
}

// beat writes the entry while the process lives, and removes it as the store does after three
// intervals of silence.
func (r *Replica) beat() {
	tick := time.NewTicker(heartbeat / 4)
	defer tick.Stop()
	for {
		select {
		case <-r.ended:
			return
		case <-tick.C:
		}
		r.mu.Lock()
		alive, silence := r.process != nil, time.Since(r.beatAt)
		r.mu.Unlock()
		switch {
		case alive && silence >= heartbeat:
			r.writeEntry()
		case !alive && silence >= entryLife && r.options.Store.Value("servers", r.options.ID) != "":
			r.options.Store.Delete("servers", r.options.ID)
		}
	}
}

func (r *Replica) writeEntry() {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.options.Service, "address": r.address, "zone": r.options.Zone, "version": r.version,
		"slots": r.options.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
	r.beatAt = time.Now()
	r.mu.Unlock()
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // The entry holds only values that JSON can encode.
	}
	// The row changes only when more than the sequence does.
	if r.options.Store.Value("servers", r.options.ID) != string(text) {
		r.options.Store.Put("servers", r.options.ID, string(text))
	}
}

func (r *Replica) serve(p *replicaProcess, w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.options.ID {
		w.Header().Set("Instance-Id", r.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("Attempt-Id")
	running := p.running.Add(1)
	defer p.running.Add(-1)
	header := w.Header()
	header.Set("Attempt-Id", id)
	header.Set("Instance-Load", fmt.Sprintf("%d,0,%d", min(int(running), r.options.Slots), r.options.Slots))
	if int(running) > r.options.Slots+4 {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set("Server-Signature", r.options.ID+"."+p.version)
	from := request.Header.Get("Last-Event-Id")
	r.mu.Lock()
	r.ran[id] = true
	r.mu.Unlock()
	r.options.Record.Printf("replica %s (service %s, software %s) runs %s %s, after event %q", r.options.ID, r.options.Service, p.version, id, request.URL.Path, from)
	if !strings.HasPrefix(request.URL.Path, "/stream/") {
		time.Sleep(r.options.Work)
		_, _ = io.WriteString(w, `{"service":"`+r.options.Service+`"}`)
		return
	}
	r.stream(p, w, request, from)
}

// stream sends the events after the given one.
func (r *Replica) stream(p *replicaProcess, w http.ResponseWriter, request *http.Request, from string) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, err := strconv.Atoi(from)
	if err != nil {
		last = 0
	}
	for n := last + 1; n <= r.options.Pieces; n++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.options.Gap):
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: {\"replica\":%q,\"software\":%q}\n\n", n, r.options.ID, p.version)
		if err != nil || control.Flush() != nil {
			return
		}
	}
}

// cutListener resets connections that are cut.
type cutListener struct {
	net.Listener
	cut func(net.Addr) bool
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.cut(conn.RemoteAddr()) {
			return conn, nil
		}
		reset(conn)
	}
}
