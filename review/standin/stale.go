package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/review/harness"
)

const (
	configApply   = 2 * time.Second
	rollbackSlack = 250 * time.Millisecond
)

// playStale moves a route to another service while the store turns one host away, and then cuts
// another host off from all replicas, so that this one passes requests on.
func playStale(w *world) (bool, error) {
	for _, service := range []string{"desk", "newdesk"} {
		if err := w.addReplicas(4, harness.ReplicaOptions{Service: service, Slots: 6, Work: 30 * time.Millisecond}, "v1"); err != nil {
			return false, err
		}
	}
	services := []harness.Service{{Name: "desk"}, {Name: "newdesk"}}
	routes := func(service string) []harness.Route {
		return []harness.Route{{Prefix: "/submit/", Type: "non_idempotent", Service: service, TimeoutMs: 800, AimMs: 150, MaxAttempts: 1}}
	}
	w.store.PutConfiguration(harness.Configuration(1, routes("desk"), services...))
	if err := w.startHosts(4); err != nil {
		return false, err
	}
	cut, away := w.hosts[0], w.hosts[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	answers := w.sendRequests(ctx, &group)

	time.Sleep(2 * time.Second)
	if w.trouble {
		w.record.Printf("the store turns %s away", away.Name)
		away.Front.SetAway(true)
	}
	time.Sleep(time.Second)
	w.store.PutConfiguration(harness.Configuration(5, routes("newdesk"), services...))
	acknowledged := time.Now()
	w.record.Printf("the store has acknowledged version 5: the route moves to the service newdesk")
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.record.Printf("%s is cut off from all replicas", cut.Name)
		w.setCut(cut)
	}
	time.Sleep(3500 * time.Millisecond)
	w.setCut(nil)
	w.record.Printf("the cut ends")
	time.Sleep(time.Second)
	away.Front.SetAway(false)
	w.record.Printf("the store serves all hosts")
	time.Sleep(4 * time.Second)
	cancel()
	group.Wait()
	return w.judgeRegress(cut, answers(), acknowledged), nil
}

// hostAnswer is an answer with the host that the client sent the request to.
type hostAnswer struct {
	harness.Answer
	host *harness.Gateway
	done time.Time
}

func (w *world) sendRequests(ctx context.Context, group *sync.WaitGroup) func() []hostAnswer {
	var mu sync.Mutex
	var answers []hostAnswer
	for _, g := range w.hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				group.Go(func() {
					c := harness.Client{Host: g, Record: w.record}
					a := c.Post(context.Background(), "/submit/return", []byte(harness.NewID()), 1500*time.Millisecond, nil)
					mu.Lock()
					answers = append(answers, hostAnswer{a, g, time.Now()})
					mu.Unlock()
				})
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(60*time.Millisecond)))
			}
		})
	}
	return func() []hostAnswer { return answers }
}

// judgeRegress applies the rule CONFIG to the host that stayed in touch with the store: after one of
// its requests was run by the new service, none that was sent later may be run by the old one.
func (w *world) judgeRegress(host *harness.Gateway, answers []hostAnswer, acknowledged time.Time) bool {
	var effect time.Time
	for _, a := range answers {
		if a.host == host && strings.Contains(a.Body, `"newdesk"`) && (effect.IsZero() || a.done.Before(effect)) {
			effect = a.done
		}
	}
	broken, passed := 0, 0
	for _, a := range answers {
		if a.host != host || effect.IsZero() || a.Sent.Before(effect.Add(rollbackSlack)) {
			continue
		}
		switch {
		case strings.Contains(a.Body, `"desk"`):
			broken++
			w.record.Printf("VERDICT: request %s, sent to %s %.3f s after a replica saw version 5 through it and %.3f s after the acknowledgement (bound %v), was run by the old service",
				a.ID, host.Name, a.Sent.Sub(effect).Seconds(), a.Sent.Sub(acknowledged).Seconds(), configApply)
		case strings.Contains(a.Body, `"newdesk"`):
			passed++
		}
	}
	w.record.Printf("VERDICT: at %s, after it had shown version 5: %d requests run by the new service, %d by the old one", host.Name, passed, broken)
	return broken > 0
}
