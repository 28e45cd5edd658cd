package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/review/harness"
)

const (
	// crashTime is how long a replica is down, and turnedAway how long the store turns a host away.
	crashTime  = 2 * time.Second
	turnedAway = 9 * time.Second
	// mixedAllowed is how many streams with events of two software versions the rule ORDER allows.
	mixedAllowed = 2

	streamDeadline = 6 * time.Second
)

// playVersions has a quarter of the replicas crash while the store turns one host away. They start
// again under their IDs, with newer software, and crash once more some seconds later.
func playVersions(w *world) (bool, error) {
	if err := w.addReplicas(12, harness.ReplicaOptions{Service: "pool", Slots: 7, Pieces: 36, Gap: 50 * time.Millisecond}, "v1"); err != nil {
		return false, err
	}
	w.store.PutConfiguration(harness.Configuration(1, []harness.Route{
		{Prefix: "/stream/", Type: "streaming", Service: "pool", Resumable: true, TimeoutMs: 6000, AimMs: 600, MaxAttempts: 2},
	}, harness.Service{Name: "pool", Engine: true}))
	if err := w.startHosts(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	streams := w.sendStreams(ctx, &group)

	time.Sleep(3 * time.Second)
	away := w.hosts[0]
	w.setAway(away, true)
	time.Sleep(300 * time.Millisecond)
	w.crash(0, 3)
	time.Sleep(turnedAway - 1500*time.Millisecond)
	w.crash(0, 3)
	time.Sleep(1100 * time.Millisecond)
	w.setAway(away, false)
	time.Sleep(3 * time.Second)
	cancel()
	group.Wait()
	return w.judgeStreams(streams()), nil
}

// setAway has the store turn a host away, unless the disruption is left out.
func (w *world) setAway(host *harness.Gateway, away bool) {
	if !w.trouble {
		return
	}
	w.record.Printf("the store turns %s away: %v", host.Name, away)
	host.Front.SetAway(away)
}

// crash has some replicas crash and start again with newer software.
func (w *world) crash(from, to int) {
	for _, r := range w.replicas[from:to] {
		r.Crash()
		time.AfterFunc(crashTime, func() {
			if err := r.Start("v2"); err != nil {
				w.record.Printf("a replica could not start: %v", err)
			}
		})
	}
}

// taken is one stream as its client got it, in one answer or more.
type taken struct {
	first  harness.Answer
	events []harness.Event
	whole  bool
}

// sendStreams sends streams to all hosts until ctx ends, most of them to the first. It returns a
// function that returns them once the group is done.
func (w *world) sendStreams(ctx context.Context, group *sync.WaitGroup) func() []taken {
	var mu sync.Mutex
	var all []taken
	for i := range w.hosts {
		pause := 700 * time.Millisecond
		if i == 0 {
			pause = 45 * time.Millisecond
		}
		group.Go(func() {
			for ctx.Err() == nil {
				group.Go(func() {
					t := w.sendStream(i)
					mu.Lock()
					all = append(all, t)
					mu.Unlock()
				})
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
			}
		})
	}
	return func() []taken { return all }
}

// maxTakeUps is how often a client tries to take a stream up.
const maxTakeUps = 3

// sendStream sends a stream. If it breaks off, the client takes it up at other hosts, as the pages
// allow, and honours Retry-After.
func (w *world) sendStream(first int) taken {
	began := time.Now()
	body := []byte(harness.NewID())
	header := map[string]string{"Model": "m", "Token-Count": "300,120", "Prefix-Hash": harness.NewID() + ":300"}
	c := harness.Client{Host: w.hosts[first], Record: w.record}
	a := c.Post(context.Background(), "/stream/draft", body, streamDeadline, header)
	t := taken{first: a, events: a.Events, whole: a.Whole && a.Status == 200}
	if a.Status != 200 || len(a.Events) == 0 {
		return t
	}
	for try := 1; try <= maxTakeUps && !t.whole; try++ {
		left := streamDeadline - time.Since(began) - a.RetryAfter
		if left < time.Second {
			break
		}
		time.Sleep(a.RetryAfter)
		host := w.hosts[(first+try)%len(w.hosts)]
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(t.events[len(t.events)-1].Number), t.first.ID
		w.record.Printf("client takes stream %s up at %s after event %s", t.first.ID, host.Name, header["Last-Event-Id"])
		c = harness.Client{Host: host, Record: w.record}
		a = c.Post(context.Background(), "/stream/draft", body, left, header)
		t.events = append(t.events, a.Events...)
		t.whole = a.Whole && a.Status == 200
	}
	return t
}

// judgeStreams applies the rule ORDER.
func (w *world) judgeStreams(all []taken) bool {
	mixed, whole, within := 0, 0, 0
	for _, t := range all {
		if t.whole {
			whole++
		}
		if len(harness.Software(t.events)) < 2 {
			continue
		}
		mixed++
		if len(harness.Software(t.first.Events)) > 1 {
			within++
		}
		w.record.Printf("VERDICT: stream %s holds events of two software versions: %s", t.first.ID, harness.Spans(t.events))
	}
	w.record.Printf("VERDICT: %d streams, %d whole; %d with events of two software versions, %d of them in one answer; %d allowed", len(all), whole, mixed, within, mixedAllowed)
	return mixed > mixedAllowed
}
