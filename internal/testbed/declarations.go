package testbed

import (
	"context"
	"encoding/json"

	"github.com/cornelyard/cornelyard/settings"
)

// Documents returns the settings documents of the cluster.
func (c *Cluster) Documents() ([]settings.Document, error) {
	declared := make(map[string]any)
	for _, tier := range c.Spec.Tiers {
		declared["tiers/"+string(tier.Name)+".json"] = tier
	}
	for _, pool := range c.Spec.Pools {
		declared["pools/"+string(pool.Name)+".json"] = pool
	}
	for name, target := range c.Targets {
		declared["targets/"+string(name)+".json"] = target.Declared
	}
	for _, team := range c.Spec.Teams {
		declared["teams/"+string(team.Name)+"/team.json"] = team.declaration()
	}
	documents := make([]settings.Document, 0, len(declared))
	for path, declaration := range declared {
		body, err := json.Marshal(declaration)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		documents = append(documents, settings.Document{Path: path, Body: string(body)})
	}
	return documents, nil
}

// applyDeclarations writes the cluster's documents to the platform, as an operator
// would.
func (c *Cluster) applyDeclarations(ctx context.Context) error {
	documents, err := c.Documents()
	if err != nil {
		return err
	}
	return c.ApplyDocuments(ctx, documents...)
}

// ApplyDocuments writes settings documents directly to the platform, not through a
// host.
func (c *Cluster) ApplyDocuments(ctx context.Context, documents ...settings.Document) error {
	store := settings.NewStore(settings.StoreOptions{Table: c.PlatformClient})
	_, err := store.Apply(ctx, settings.Change{
		Author:    "testbed",
		Reason:    "declarations of the test",
		Puts:      documents,
		Principal: settings.OperatorPrincipal(),
	})
	return Error.Wrap(err)
}
