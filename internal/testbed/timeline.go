package testbed

import (
	"cmp"
	"context"
	"slices"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
	"github.com/cornelyard/cornelyard/timeline"
)

// OperatorClient returns a client of the host's operator listener.
func (h *Host) OperatorClient() *client.Client {
	return client.New(client.Options{Addresses: []string{h.Settings.OperatorAddress}, Token: OperatorToken})
}

// eventKey identifies an event, to remove duplicates that several hosts returned.
type eventKey struct {
	host ident.Host
	time timeline.Timestamp
}

// Events reads the time line through each of the given hosts, because a partitioned
// host returns only the events of the hosts that it can reach. It returns the events
// in order, without duplicates. The events of a killed host are lost.
func (c *Cluster) Events(ctx context.Context, via ...*Host) ([]timeline.Event, error) {
	seen := make(map[eventKey]bool)
	var all []timeline.Event
	for _, h := range via {
		events, err := h.events(ctx)
		if err != nil {
			return nil, err
		}
		for _, e := range events {
			key := eventKey{host: e.Host, time: e.Time}
			if !seen[key] {
				seen[key] = true
				all = append(all, e)
			}
		}
	}
	slices.SortFunc(all, func(a, b timeline.Event) int {
		return cmp.Or(cmp.Compare(a.Time.Wall, b.Time.Wall), cmp.Compare(a.Time.Logical, b.Time.Logical))
	})
	return all, nil
}

// events reads all events that the host can reach.
func (h *Host) events(ctx context.Context) ([]timeline.Event, error) {
	operator := h.OperatorClient()
	defer operator.Close()
	var events []timeline.Event
	var query api.TimelineQuery
	for {
		page, err := operator.Timeline(ctx, query)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		events = append(events, page.Events...)
		if !page.More {
			return events, nil
		}
		query.Cursors = page.Cursors
	}
}
