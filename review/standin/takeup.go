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
	// minTakenUp is how many streams must be taken up for the rule LOST to count their share.
	minTakenUp = 12
	crashes    = 3
	// clientDistance is from the end of an answer at a host to the arrival of the retry at another
	// one: the end reaches the client, a connection is opened, and the request is sent, at 3 ms one
	// way as on the sheet.
	clientDistance = 12 * time.Millisecond
)

// playTakeUp has a quarter of the replicas crash at once, three times. Nothing else is disturbed: all
// hosts are in touch, and nine replicas of the same software serve.
func playTakeUp(w *world) (bool, error) {
	if err := w.addReplicas(12, harness.ReplicaOptions{Service: "pool", Slots: 7, Pieces: 40, Gap: 50 * time.Millisecond}, "v1"); err != nil {
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
	streams := w.sendOnce(ctx, &group)
	// By now each host has run for longer than the window of the retry budget.
	time.Sleep(12 * time.Second)
	for i := range crashes {
		if w.trouble {
			w.crashSame(3*i, 3*i+3)
		}
		time.Sleep(8 * time.Second)
	}
	cancel()
	group.Wait()
	return w.judgeTakeUps(streams()), nil
}

// crashSame has some replicas crash and start again with the software that they had.
func (w *world) crashSame(from, to int) {
	for _, r := range w.replicas[from:to] {
		r.Crash()
		time.AfterFunc(crashTime, func() {
			if err := r.Start("v1"); err != nil {
				w.record.Printf("a replica could not start: %v", err)
			}
		})
	}
}

// attempts is one stream: what its client got at first and, if that broke off, with its one retry.
type attempts struct {
	first   harness.Answer
	takenUp bool
	retry   harness.Answer
}

// sendOnce sends streams to all hosts until ctx ends. A client retries once, as on the sheets.
func (w *world) sendOnce(ctx context.Context, group *sync.WaitGroup) func() []attempts {
	var mu sync.Mutex
	var all []attempts
	for i := range w.hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				group.Go(func() {
					a := w.sendWithRetry(i)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				})
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(95*time.Millisecond)))
			}
		})
	}
	return func() []attempts { return all }
}

func (w *world) sendWithRetry(host int) attempts {
	began := time.Now()
	body := []byte(harness.NewID())
	header := map[string]string{"Model": "m", "Token-Count": "300,120", "Prefix-Hash": harness.NewID() + ":300"}
	c := harness.Client{Host: w.hosts[host], Record: w.record}
	a := attempts{first: c.Post(context.Background(), "/stream/draft", body, streamDeadline, header)}
	events := a.first.Events
	left := streamDeadline - time.Since(began)
	if a.first.Whole || len(events) == 0 || left < time.Second {
		return a
	}
	a.takenUp = true
	time.Sleep(clientDistance)
	next := w.hosts[(host+1)%len(w.hosts)]
	header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(events[len(events)-1].Number), a.first.ID
	w.record.Printf("client takes stream %s up at %s after event %s", a.first.ID, next.Name, header["Last-Event-Id"])
	c = harness.Client{Host: next, Record: w.record}
	a.retry = c.Post(context.Background(), "/stream/draft", body, left, header)
	return a
}

// judgeTakeUps applies the rule LOST for streams that are taken up.
func (w *world) judgeTakeUps(all []attempts) bool {
	begun, takenUp, goOn := 0, 0, 0
	for _, a := range all {
		if len(a.first.Events) > 0 {
			begun++
		}
		if a.takenUp {
			takenUp++
		}
		if len(a.retry.Events) > 0 || a.retry.Status == 200 && a.retry.Whole {
			goOn++
		}
	}
	newShare := float64(begun) / float64(max(len(all), 1))
	share := float64(goOn) / float64(max(takenUp, 1))
	w.record.Printf("VERDICT: %d new streams, %.2f of them begin; %d taken up, %d of them go on, a share of %.2f; the rule wants %.2f if %d or more are taken up",
		len(all), newShare, takenUp, goOn, share, newShare/2, minTakenUp)
	return takenUp >= minTakenUp && share < newShare/2
}
