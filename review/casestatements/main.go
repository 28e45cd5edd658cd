// Command casestatements shows what becomes of a replica's wishes when its entry is missing in the store for a
// moment. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/review/stage"
)

const (
	// retryAfter is how long the replica in need wants nothing from a machine.
	retryAfter = 20 * time.Second
	// cutTime is how long it is partitioned from the store: the default of srv_cut.
	cutTime = 5 * time.Second
	// slack is the time after the answer in which requests may still arrive.
	slack = 500 * time.Millisecond
	// allowed is how many requests may arrive from a machine later than that.
	allowed = 2
)

// arrival is a request that reached the replica in need from a host.
type arrival struct {
	at   time.Time
	host *stage.Host
}

type log struct {
	mu       sync.Mutex
	arrivals []arrival
	// since holds when the replica first answered a host that it wants nothing from it.
	since map[*stage.Host]time.Time
}

func main() {
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(stage.Main(*root, *out, play))
}

func play(s *stage.Stage, trouble bool) (bool, error) {
	if err := s.PutConfiguration(stage.Configuration(1)); err != nil {
		return false, err
	}
	clients := stage.NewClients(s)
	l := &log{since: make(map[*stage.Host]time.Time)}
	var inNeed sync.Mutex
	needy := false
	var sick *stage.Replica
	for i, zone := range []string{"col-a", "col-b", "col-c", "col-d"} {
		r := &stage.Replica{ID: fmt.Sprintf("i-%d%s", i, "f425ee5c"), Service: stage.Service, Zone: zone, Slots: 6, Work: 30 * time.Millisecond}
		if i == 0 {
			sick = r
			r.OnArrival = func(at time.Time, id string) {
				h := clients.HostOf(id)
				l.mu.Lock()
				l.arrivals = append(l.arrivals, arrival{at, h})
				l.mu.Unlock()
				inNeed.Lock()
				defer inNeed.Unlock()
				if needy {
					l.mu.Lock()
					if l.since[h].IsZero() {
						l.since[h] = at
						s.Record.Add("%s answers %s 503 with Retry-After: %v", r.ID, h.Name, retryAfter.Seconds())
					}
					l.mu.Unlock()
				}
				s.Record.Add("%s reaches %s from %s", id, r.ID, h.Name)
			}
			r.TurnAway = func() (http.Header, bool) {
				inNeed.Lock()
				defer inNeed.Unlock()
				return http.Header{"Retry-After": {fmt.Sprint(retryAfter.Seconds())}}, needy
			}
		}
		if err := s.AddReplica(r, 24); err != nil {
			return false, err
		}
	}
	if err := s.StartHosts(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, h := range s.Hosts {
		group.Go(func() { load(clients, h, i, stop) })
	}
	time.Sleep(5 * time.Second)
	set := func(on bool) {
		inNeed.Lock()
		defer inNeed.Unlock()
		needy = on
	}
	s.Record.Say("%s is in need: it turns requests away for 1.5 s", sick.ID)
	set(true)
	time.Sleep(1500 * time.Millisecond)
	set(false)
	if trouble {
		s.Record.Say("%s is partitioned from the store", sick.ID)
		sick.CutFromStore(true)
		time.Sleep(cutTime)
		sick.CutFromStore(false)
		s.Record.Say("the partition ends")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(retryAfter - cutTime)
	close(stop)
	group.Wait()
	s.Record.Say("how tries ended: %s", clients.Counts())
	return l.judge(s), nil
}

// load sends a host its share of the requests: about five a second.
func load(clients *stage.Clients, h *stage.Host, i int, stop chan struct{}) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for n := i; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() {
			if n%3 == 0 {
				clients.Do(h, stage.Request{Method: http.MethodGet, Path: stage.StatusPath + "2f", Deadline: 1500 * time.Millisecond})
				return
			}
			clients.Do(h, stage.Request{Method: http.MethodPost, Path: stage.SubmitPath + "2f", Deadline: 1500 * time.Millisecond, Body: "form"})
		})
	}
}

// judge counts for each host the requests that reached the replica while it wanted none from it.
func (l *log) judge(s *stage.Stage) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := false
	for _, h := range s.Hosts {
		since := l.since[h]
		if since.IsZero() {
			s.Record.Say("%s: not asked to wait", h.Name)
			continue
		}
		count := 0
		for _, a := range l.arrivals {
			if a.host == h && a.at.After(since.Add(slack)) && a.at.Before(since.Add(retryAfter)) {
				count++
			}
		}
		s.Record.Say("%s: %d requests between %v after the 503 and the end of the %v (%d allowed)", h.Name, count, slack, retryAfter, allowed)
		broken = broken || count > allowed
	}
	return broken
}
