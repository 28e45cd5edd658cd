package faultrun

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	changeInterval = 300 * time.Millisecond
	// changeTimeout bounds one change including its retries.
	changeTimeout = 10 * time.Second
)

// settingsChanger applies one settings change after another.
type settingsChanger struct {
	cluster *testbed.Cluster

	mu sync.Mutex
	// newestAccepted is the newest version that was confirmed to an operator.
	newestAccepted uint64
	acceptedCount  int
}

// run applies changes until ctx ends.
func (c *settingsChanger) run(ctx context.Context) {
	var addresses []string
	for _, h := range c.cluster.Hosts {
		addresses = append(addresses, h.Settings.OperatorAddress)
	}
	operator := client.New(client.Options{Addresses: addresses, Token: testbed.OperatorToken})
	defer operator.Close()
	for n := 0; ctx.Err() == nil; n++ {
		c.change(operator, n)
		time.Sleep(changeInterval)
	}
}

// change applies a new default deadline for the low tier.
func (c *settingsChanger) change(operator *client.Client, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"rank": 1, "defaultDeadline": "%ds"}`, int(deadline.Seconds())+n%2)
	result, err := operator.Apply(ctx, api.ApplyRequest{
		ID:     "change-" + strconv.Itoa(n),
		Author: "operator",
		Reason: "fault run",
		Puts:   []settings.Document{{Path: "tiers/" + string(low) + ".json", Body: body}},
	})
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newestAccepted = max(c.newestAccepted, result.Version)
	c.acceptedCount++
}
