package policy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
)

// clientTimeoutSlack is how long after its deadline the client cancels a call.
const clientTimeoutSlack = 5 * time.Second

// phase runs the calls of one load against one cluster.
type phase struct {
	cluster *testbed.Cluster
	client  *http.Client
	tallies map[ident.Tier]*tally
	// midway, if not nil, is called in the middle of the phase.
	midway func()
}

func newPhase(cluster *testbed.Cluster, client *http.Client) *phase {
	p := &phase{cluster: cluster, client: client, tallies: make(map[ident.Tier]*tally)}
	for _, tier := range tiers {
		p.tallies[tier.Name] = &tally{}
	}
	return p
}

// run makes the calls when they are due and waits until they have finished.
func (p *phase) run(ctx context.Context, jobs []job, duration time.Duration) {
	begin := time.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	if p.midway != nil {
		timer := time.AfterFunc(duration/2, p.midway)
		defer timer.Stop()
	}
	pools := make(map[ident.Pool][]job)
	for _, j := range jobs {
		pools[j.pool] = append(pools[j.pool], j)
	}
	for _, list := range pools {
		calls.Go(func() { p.runPool(ctx, begin, list, &calls) })
	}
}

func (p *phase) runPool(ctx context.Context, begin time.Time, jobs []job, calls *sync.WaitGroup) {
	for _, j := range jobs {
		if standin.Sleep(ctx, j.due-time.Since(begin)) != nil {
			return
		}
		calls.Go(func() { p.call(ctx, j) })
	}
}

func (p *phase) call(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, j.deadline+clientTimeoutSlack)
	defer cancel()
	host := p.cluster.Hosts[j.host]
	caller := &chatclient.Client{BaseURL: host.CallerURL(), Token: string(j.team), HTTP: p.client}
	answer, err := caller.Complete(ctx, chatclient.Call{
		Model: string(j.pool), Prompt: j.prompt, MaxTokens: j.limit, Stream: true, Tier: j.tier, Deadline: j.deadline,
	})
	if err != nil {
		answer.Whole = false
	}
	p.tallies[j.tier].add(answer, j.deadline)
}

// result aggregates the tallies.
func (p *phase) result() Result {
	var result Result
	all := &tally{}
	for _, tier := range tiers {
		t := p.tallies[tier.Name]
		all.counts.add(t.counts)
		all.finish = append(all.finish, t.finish...)
		all.firstToken = append(all.firstToken, t.firstToken...)
		all.gap = append(all.gap, t.gap...)
		result.Tiers = append(result.Tiers, TierResult{Tier: tier.Name, Counts: t.counts, Times: t.times()})
	}
	result.Total = TierResult{Counts: all.counts, Times: all.times()}
	return result
}

func (c *Counts) add(other Counts) {
	c.Offered += other.Offered
	c.Good += other.Good
	c.Late += other.Late
	c.Expired += other.Expired
	c.Shed += other.Shed
	c.Infeasible += other.Infeasible
	c.Preempted += other.Preempted
	c.Failed += other.Failed
}
