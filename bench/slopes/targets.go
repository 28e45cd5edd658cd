package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

// targetsSeries changes the number of targets that one owner looks after. The
// targets only report their load.
func targetsSeries() series {
	return series{
		name: "targets", varied: "targets of one owner",
		values: fixed(1, 10, 50, 100),
		point: func(ctx context.Context, o options, x float64) ([]Figure, error) {
			var reports atomic.Int64
			documents, stop, err := reportingTargets(int(x), &reports)
			defer stop()
			if err != nil {
				return nil, err
			}
			return withCluster(ctx, o, baseSpec(1), func(c *testbed.Cluster) ([]Figure, error) {
				return observeTargets(ctx, o, c, documents, &reports)
			})
		},
	}
}

func observeTargets(
	ctx context.Context, o options, c *testbed.Cluster, documents []settings.Document, reports *atomic.Int64,
) ([]Figure, error) {
	if err := c.ApplyDocuments(ctx, documents...); err != nil {
		return nil, err
	}
	if err := restart(ctx, c.Hosts[0]); err != nil {
		return nil, err
	}
	if err := standin.Sleep(ctx, o.settle); err != nil {
		return nil, err
	}
	before := reports.Load()
	figures, err := observeIdle(ctx, o, c)
	rate := float64(reports.Load()-before) / o.window.Seconds()
	return append(figures, Figure{Name: "load reports", Unit: "1/s", Value: rate}), err
}

// restart lets the host begin with the targets in force.
func restart(ctx context.Context, h *testbed.Host) error {
	if err := h.Kill(); err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	return h.WaitReady(ctx)
}

// reportingTargets serves load reports on n addresses, counts them and returns
// the targets' declarations.
func reportingTargets(n int, reports *atomic.Int64) (documents []settings.Document, stop func(), err error) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reports.Add(1)
		_, _ = fmt.Fprint(w, `{"running":0,"waiting":0,"ageMs":0}`)
	})
	var servers []*httptest.Server
	stop = func() {
		for _, s := range servers {
			s.CloseClientConnections()
			s.Close()
		}
	}
	for i := range n {
		server := httptest.NewServer(handler)
		servers = append(servers, server)
		target := settings.Target{
			Name: ident.Target(fmt.Sprintf("target-%03d", i)), Pool: pool, DataCentre: dataCentre,
			Slots: 1, ReportsLoad: true, Address: server.Listener.Addr().String(),
		}
		body, err := json.Marshal(target)
		if err != nil {
			return nil, stop, Error.Wrap(err)
		}
		documents = append(documents, settings.Document{Path: "targets/" + string(target.Name) + ".json", Body: string(body)})
	}
	return documents, stop, nil
}
