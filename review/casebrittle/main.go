// Command casebrittle shows how often brittle replicas fall over after one of them has crashed. It exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/review/stage"
)

const (
	replicas = 4
	slots    = 6
	// usualQueue and brittleQueue are how many requests wait at a replica.
	usualQueue   = 24
	brittleQueue = 2
	// brittle is how many requests a replica may turn away in a second.
	brittle = 3
	work    = 60 * time.Millisecond
	contact = 3 * time.Second
	// crashTime is how long the crashed replica is down, backAfter how long one that fell over.
	crashTime = 5 * time.Second
	backAfter = 4 * time.Second
	// total is the length of the load.
	total = 50 * time.Second
)

// fleet holds what the replicas have seen.
type fleet struct {
	stage *stage.Stage

	mu       sync.Mutex
	brittle  bool
	from     time.Time
	falls    []time.Time
	rejected map[*stage.Replica][]time.Time
	down     map[*stage.Replica]bool
}

func main() {
	root := flag.String("root", ".", "the repository")
	out := flag.String("record", "record.txt", "the record")
	share := flag.Float64("load", 0.9, "the load, as a share of what all replicas bear")
	flag.Parse()
	os.Exit(stage.Main(*root, *out, func(s *stage.Stage, trouble bool) (bool, error) { return play(s, trouble, *share) }))
}

func (f *fleet) statements() http.Header {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.brittle {
		return nil
	}
	return http.Header{"Server-Brittle": {fmt.Sprint(brittle)}}
}

// reject counts a request that a replica turned away for want of room; too many make it fall over.
func (f *fleet) reject(r *stage.Replica, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.brittle || at.Before(f.from.Add(contact)) || f.down[r] {
		return
	}
	f.rejected[r] = append(f.rejected[r], at)
	f.stage.Record.Add("%s turns a request away", r.ID)
	recent := 0
	for _, t := range f.rejected[r] {
		if at.Sub(t) < time.Second {
			recent++
		}
	}
	if recent <= brittle {
		return
	}
	f.falls = append(f.falls, at)
	f.rejected[r] = nil
	f.down[r] = true
	go func() {
		f.stage.Record.Say("%s has turned %d requests away within a second and falls over", r.ID, recent)
		r.Crash()
		time.Sleep(backAfter)
		f.back(r)
	}()
}

func (f *fleet) back(r *stage.Replica) {
	if err := r.Start(); err != nil {
		f.stage.Record.Say("%s can't start: %v", r.ID, err)
		return
	}
	f.stage.Record.Say("%s is back", r.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[r] = false
}

func play(s *stage.Stage, trouble bool, share float64) (bool, error) {
	if err := s.PutConfiguration(stage.Configuration(1)); err != nil {
		return false, err
	}
	f := &fleet{stage: s, rejected: make(map[*stage.Replica][]time.Time), down: make(map[*stage.Replica]bool)}
	clients := stage.NewClients(s)
	var all []*stage.Replica
	for i, zone := range []string{"col-a", "col-b", "col-c", "col-d"} {
		r := &stage.Replica{ID: fmt.Sprintf("i-%df425ee5c", i), Service: stage.Service, Zone: zone, Slots: slots, Work: work, Statements: f.statements}
		r.OnReject = func(at time.Time, _ string) { f.reject(r, at) }
		all = append(all, r)
		if err := s.AddReplica(r, usualQueue); err != nil {
			return false, err
		}
	}
	if err := s.StartHosts(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	perHost := share * replicas * slots / work.Seconds() / float64(len(s.Hosts))
	for _, h := range s.Hosts {
		group.Go(func() { load(clients, h, perHost, stop) })
	}
	time.Sleep(4 * time.Second)
	s.Record.Say("the replicas are brittle from now on")
	f.mu.Lock()
	f.brittle, f.from = true, time.Now()
	f.mu.Unlock()
	time.Sleep(contact)
	for _, r := range all {
		r.SetQueue(brittleQueue)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.mu.Lock()
		f.down[all[0]] = true
		f.mu.Unlock()
		s.Record.Say("%s crashes for %v", all[0].ID, crashTime)
		all[0].Crash()
		time.Sleep(crashTime)
		f.back(all[0])
	}
	time.Sleep(total - 9*time.Second - crashTime)
	close(stop)
	group.Wait()
	s.Record.Say("how tries ended: %s", clients.Counts())
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := 2 + 0.1*replicas
	s.Record.Say("%d falls, %.1f are allowed", len(f.falls), allowed)
	return float64(len(f.falls)) > allowed, nil
}

// load sends a host requests at random times.
func load(clients *stage.Clients, h *stage.Host, perSecond float64, stop chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		group.Go(func() {
			if rand.IntN(3) == 0 {
				clients.Do(h, stage.Request{Method: http.MethodGet, Path: stage.StatusPath + "2f", Deadline: 1500 * time.Millisecond})
				return
			}
			clients.Do(h, stage.Request{Method: http.MethodPost, Path: stage.SubmitPath + "2f", Deadline: 1500 * time.Millisecond, Body: "form"})
		})
	}
}
