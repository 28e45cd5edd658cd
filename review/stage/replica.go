package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Replica is a sound replica: it serves a number of requests at a time, lets a few wait and rejects the rest.
type Replica struct {
	ID      string
	Service string
	Zone    string
	Version string
	Slots   int
	// Work is how long a request takes.
	Work time.Duration
	// Handle, if set, answers a request in place of the usual answer, once a slot is free. The version is that
	// of the process.
	Handle func(w http.ResponseWriter, r *http.Request, version string)
	// Statements returns the header fields that all answers bear.
	Statements func() http.Header
	// TurnAway returns whether a request is rejected for another reason than a full queue, with further
	// header fields of that answer.
	TurnAway func() (http.Header, bool)
	// OnArrival is called with each request that isn't a health check, OnReject with each that is rejected
	// because the queue is full.
	OnArrival func(at time.Time, id string)
	OnReject  func(at time.Time, id string)

	stage   *Stage
	address string

	mu       sync.Mutex
	born     int64
	server   *http.Server
	queue    int
	running  int
	waiting  int
	freed    *sync.Cond
	sequence int
	beats    bool
	lastBeat time.Time
	listed   bool
	draining bool
	runs     map[string]int
}

// AddReplica starts a replica and its heartbeats.
func (s *Stage) AddReplica(r *Replica, queue int) error {
	r.stage = s
	r.queue = queue
	r.freed = sync.NewCond(&r.mu)
	r.address = fmt.Sprintf("%s:8308", s.newIP())
	r.runs = make(map[string]int)
	if r.Version == "" {
		r.Version = "v1"
	}
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	if err := r.Start(); err != nil {
		return err
	}
	go r.beat()
	return nil
}

// Address returns the replica's IP:port.
func (r *Replica) Address() string { return r.address }

// Start starts a new process of the replica under its id.
func (r *Replica) Start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.server = server
	r.running, r.waiting = 0, 0
	r.beats, r.draining = true, false
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.write()
	return nil
}

// Crash ends the replica's process without notice. It says nothing more to the store.
func (r *Replica) Crash() {
	r.mu.Lock()
	r.beats = false
	r.mu.Unlock()
	r.stop()
}

func (r *Replica) stop() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.freed.Broadcast()
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Drain reports to the store that the replica is draining.
func (r *Replica) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.write()
}

// Exit ends the replica's process as planned: its entry is removed.
func (r *Replica) Exit() {
	r.mu.Lock()
	r.beats, r.listed = false, false
	r.mu.Unlock()
	if !r.stage.StoreAway() {
		r.stage.Store.Delete("servers", r.ID)
	}
	r.stop()
}

// SetVersion sets the software version of the next process.
func (r *Replica) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Version = version
}

// SetQueue sets how many requests may wait.
func (r *Replica) SetQueue(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = n
}

// CutFromStore sets whether the replica is partitioned from the store.
func (r *Replica) CutFromStore(cut bool) {
	r.mu.Lock()
	r.beats = !cut
	r.mu.Unlock()
	if !cut {
		r.write()
	}
}

// beat writes the entry at each heartbeat; the platform removes it after three without a word.
func (r *Replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	check := time.NewTicker(50 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-r.stage.ended:
			return
		case <-ticker.C:
			r.mu.Lock()
			beats := r.beats
			r.mu.Unlock()
			if beats {
				r.write()
			}
		case <-check.C:
			r.mu.Lock()
			lapsed := r.listed && time.Since(r.lastBeat) > 3*heartbeat
			if lapsed {
				r.listed = false
			}
			r.mu.Unlock()
			if lapsed {
				r.stage.Store.Delete("servers", r.ID)
				r.stage.Record.Add("the store removes the entry of %s after three heartbeats of silence", r.ID)
			}
		}
	}
}

// write writes the replica's entry.
func (r *Replica) write() {
	r.mu.Lock()
	r.sequence++
	r.lastBeat = time.Now()
	again := !r.listed
	r.listed = true
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	if r.stage.StoreAway() {
		return
	}
	text, _ := json.Marshal(entry)
	r.stage.Store.PutTarget(r.ID, string(text))
	if again || state != "ready" {
		r.stage.Record.Add("%s writes its entry: %s, %s, born %d", r.ID, entry["version"], state, entry["born"])
	}
}

// admit waits for a slot. It returns false if the queue is full.
func (r *Replica) admit(server *http.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.Slots {
		if r.waiting >= r.queue {
			return false
		}
		r.waiting++
		for r.running >= r.Slots && r.server == server {
			r.freed.Wait()
		}
		r.waiting = max(r.waiting-1, 0)
	}
	r.running++
	return true
}

func (r *Replica) release(server *http.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == server {
		r.running--
		r.freed.Signal()
	}
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	at := time.Now()
	header := w.Header()
	if r.Statements != nil {
		for name, values := range r.Statements() {
			header[name] = values
		}
	}
	if request.URL.Path == "/healthz" {
		header.Set("Instance-Id", r.ID)
		return
	}
	id := request.Header.Get("Attempt-Id")
	header.Set("Attempt-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.OnArrival != nil {
		r.OnArrival(at, id)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.mu.Lock()
	server, version := r.server, r.Version
	if r.draining {
		header.Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	if r.TurnAway != nil {
		if more, reject := r.TurnAway(); reject {
			for name, values := range more {
				header[name] = values
			}
			r.reject(w)
			return
		}
	}
	if !r.admit(server) {
		if r.OnReject != nil {
			r.OnReject(time.Now(), id)
		}
		r.reject(w)
		return
	}
	defer r.release(server)
	if r.Handle != nil {
		header.Set("Server-Signature", "3e1b."+r.ID)
		r.Handle(w, request, version)
		return
	}
	select {
	case <-time.After(r.Work):
	case <-request.Context().Done():
		return
	}
	r.mu.Lock()
	r.runs[id]++
	header.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.Slots))
	r.mu.Unlock()
	header.Set("Server-Signature", "3e1b."+r.ID)
	body := strings.Repeat("x", 800)
	_, _ = io.WriteString(w, body)
}

func (r *Replica) reject(w http.ResponseWriter) {
	r.mu.Lock()
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.Slots))
	r.mu.Unlock()
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
