// Command caseversions upgrades replicas under their ids, one after the other, while the store comes back from a
// copy. It exits with 1 if streams were joined from two software versions, 0 if not, and 2 if the case could not run.
package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/review/stage"
)

const (
	replicas = 6
	slots    = 7
	// events and gap are those of a stream: it lasts ten seconds.
	events = 100
	gap    = 100 * time.Millisecond
	// perSecond is how many streams begin.
	perSecond = 3.0
	// serveOn is how long a replica serves on after it has reported that it is draining, downTime how long its
	// next process takes to start.
	serveOn  = 2100 * time.Millisecond
	downTime = 500 * time.Millisecond
	// between is the time between two replicas that are replaced.
	between = time.Second
	// copyAge is how old the copy is from which the store comes back, awayTime how long it is away before.
	copyAge  = 5500 * time.Millisecond
	awayTime = 500 * time.Millisecond
	// allowed is how many streams may hold events of two versions.
	allowed = 2
)

func main() {
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(stage.Main(*root, *out, play))
}

// stream writes the events of a stream, from the one after Last-Event-Id on.
func stream(w http.ResponseWriter, r *http.Request, version string) {
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for ; next <= events; next++ {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, version, next); err != nil || control.Flush() != nil {
			return
		}
	}
}

type audience struct {
	stage  *stage.Stage
	client *http.Client

	mu sync.Mutex
	// joined counts the streams that held events of two versions, complete those with all events.
	joined   int
	complete int
	cut      int
}

func play(s *stage.Stage, trouble bool) (bool, error) {
	if err := s.PutConfiguration(stage.WithStreams(stage.Configuration(1), 15000)); err != nil {
		return false, err
	}
	var all []*stage.Replica
	for i := range replicas {
		r := &stage.Replica{
			ID: fmt.Sprintf("i-%df425ee5c", i), Service: stage.ModelService, Zone: stage.Zones[i], Slots: slots, Version: "v1", Handle: stream,
		}
		all = append(all, r)
		if err := s.AddReplica(r, 42); err != nil {
			return false, err
		}
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
	}
	if err := s.StartHosts(); err != nil {
		return false, err
	}
	a := &audience{stage: s, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	begin := time.Now()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { a.load(stop) })
	at := func(t time.Duration) { time.Sleep(time.Until(begin.Add(t))) }
	first := 6 * time.Second
	for i, r := range all {
		group.Go(func() {
			at(first + time.Duration(i)*between)
			r.Drain()
			s.Record.Say("%s drains", r.ID)
			time.Sleep(serveOn)
			r.Exit()
			s.Record.Say("%s has left", r.ID)
			time.Sleep(downTime)
			r.SetVersion("v2")
			if err := r.Start(); err != nil {
				s.Record.Say("%s can't start: %v", r.ID, err)
			}
			s.Record.Say("%s is back with version v2", r.ID)
		})
	}
	if trouble {
		away := first + replicas*between + 150*time.Millisecond
		at(away - copyAge)
		s.Store.TakeCopy()
		at(away)
		s.Record.Say("the store is away")
		s.SetStoreAway(true, false)
		time.Sleep(awayTime)
		s.SetStoreAway(false, true)
		s.Record.Say("the store is back from a copy that is %v old", copyAge)
	}
	at(25 * time.Second)
	close(stop)
	group.Wait()
	s.Record.Say("%d streams complete, %d cut, %d held events of two versions (%d allowed)", a.complete, a.cut, a.joined, allowed)
	return a.joined > allowed, nil
}

// load begins streams at random hosts until stop is closed, and waits for their ends.
func (a *audience) load(stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		group.Go(a.watch)
	}
}

// watch reads one stream and takes it up once if it breaks off.
func (a *audience) watch() {
	first := fmt.Sprintf("%016x", rand.Uint64())
	id, last := first, 0
	versions := make(map[string]bool)
	for try := range 2 {
		h := a.stage.Hosts[rand.IntN(len(a.stage.Hosts))]
		status := 0
		status, last = a.read(h, id, first, last, versions)
		if last == events || last == 0 || status != http.StatusOK && try > 0 {
			break
		}
		id = fmt.Sprintf("%016x", rand.Uint64())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(versions) > 1 {
		a.joined++
		a.stage.Record.Add("stream %s holds events of two versions", first)
	}
	if last == events {
		a.complete++
	} else {
		a.cut++
	}
}

// read reads a stream after an event and returns the last event that came.
func (a *audience) read(h *stage.Host, id, first string, last int, versions map[string]bool) (status, end int) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Frontend+stage.StreamPath+"2f", strings.NewReader("prompt"))
	if err != nil {
		return 0, last
	}
	request.Host = stage.HostName
	for name, value := range map[string]string{
		"Attempt-Id": id, "Deadline-Ms": "15000", "Credential": stage.Key, "Model": "m", "Token-Count": "543,300",
		"Prefix-Hash": "5c1e07a2:60," + first + ":483",
	} {
		request.Header.Set(name, value)
	}
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		request.Header.Set("Resumes", first)
	}
	response, err := a.client.Do(request)
	if err != nil {
		a.stage.Record.Add("%s (stream %s after %d) at %s: %v", id, first, last, h.Name, err)
		return 0, last
	}
	defer func() { _ = response.Body.Close() }()
	var runs []string
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if response.StatusCode != http.StatusOK || len(fields) != 3 || fields[0] != "data:" {
			continue
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil || n != last+1 {
			a.stage.Record.Add("stream %s: event %q after %d", first, lines.Text(), last)
			continue
		}
		last = n
		versions[fields[1]] = true
		if len(runs) == 0 || !strings.HasPrefix(runs[len(runs)-1], fields[1]) {
			runs = append(runs, fmt.Sprintf("%s from %d", fields[1], n))
		}
	}
	a.stage.Record.Add("%s (stream %s) at %s: %d, %s, to event %d, %v", id, first, h.Name, response.StatusCode, strings.Join(runs, ", then "), last, lines.Err())
	return response.StatusCode, last
}
