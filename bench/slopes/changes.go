package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/settings"
)

// changesSeries applies changes of one team each, with many teams declared,
// through the first of two hosts.
func changesSeries() series {
	const teams = 4400
	return series{
		name: "changes", varied: fmt.Sprintf("changes of settings a second, of %d teams", teams),
		values: fixed(0, 0.5, 1, 2),
		point: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			return withCluster(ctx, o, teamsSpec(teams), func(c *testbed.Cluster) ([]Figure, error) {
				return observeChanges(ctx, o, c, x)
			})
		},
	}
}

func observeChanges(ctx context.Context, o options, c *testbed.Cluster, rate float64) ([]Figure, error) {
	applying, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	var applyErr error
	group.Go(func() { applyErr = applyAtRate(applying, c.Hosts[0], rate) })
	figures, err := observeRoles(ctx, o, c)
	cancel()
	group.Wait()
	if applyErr != nil {
		return nil, applyErr
	}
	return figures, err
}

func observeRoles(ctx context.Context, o options, c *testbed.Cluster) ([]Figure, error) {
	w, err := observeWithPlatform(ctx, o, c)
	if err != nil {
		return nil, err
	}
	figures := append(w.uses[0].figures("applying host"), w.uses[1].figures("following host")...)
	return append(
		figures,
		Figure{Name: "platform reads", Unit: "1/s", Value: w.reads},
		Figure{Name: "platform writes", Unit: "1/s", Value: w.writes},
	), nil
}

// applyAtRate changes one team after the other until ctx ends.
func applyAtRate(ctx context.Context, h *testbed.Host, rate float64) error {
	if rate == 0 {
		return nil
	}
	client := h.OperatorClient()
	defer client.Close()
	begin := time.Now()
	for i := 1; ; i++ {
		due := time.Duration(float64(i) / rate * float64(time.Second))
		if standin.Sleep(ctx, due-time.Since(begin)) != nil {
			return nil
		}
		request, err := changeTeam(i)
		if err != nil {
			return err
		}
		if _, err := client.Apply(ctx, request); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

func changeTeam(i int) (api.ApplyRequest, error) {
	name := fmt.Sprintf("team-%04d", i)
	declared := settings.Team{
		Name: ident.Team(name), DefaultTier: tier,
		CallerTokenHashes: []string{settings.TokenHash(name + "-changed")},
	}
	body, err := json.Marshal(declared)
	return api.ApplyRequest{
		ID: fmt.Sprint("change-", i), Author: "bench", Reason: "measurement",
		Puts: []settings.Document{{Path: "teams/" + name + "/team.json", Body: string(body)}},
	}, Error.Wrap(err)
}
