package dev

import (
	"encoding/json"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

// Tokens of the sample system.
const (
	// CallerToken authenticates callers of the team "bureau".
	CallerToken = "sample-caller-token"
	// TeamToken is authorized to change the subtree of the team "bureau".
	TeamToken = "sample-team-token"
	// OperatorToken is authorized to change all declarations.
	OperatorToken = "sample-operator-token"
)

// peerKey authenticates the sample hosts to each other.
const peerKey = "6465762d73616d706c652d706565722d6b65792d6465762d73616d706c652d6b"

const (
	shortDeadline = settings.Duration(30 * time.Second)
	longDeadline  = settings.Duration(5 * time.Minute)
	tokenGap      = settings.Duration(80 * time.Millisecond)
	maxQueue      = 1000
)

// declarations returns the documents of the sample system.
func declarations(targets []standinTarget) ([]settings.Document, error) {
	var tree documentBuilder
	tree.add("tiers/filing.json", settings.Tier{Rank: 0, DefaultDeadline: shortDeadline})
	tree.add("tiers/interactive.json", settings.Tier{Rank: 1, DefaultDeadline: shortDeadline})
	tree.add("tiers/batch.json", settings.Tier{Rank: 2, DefaultDeadline: longDeadline})
	tree.add("pools/"+string(enginePool)+".json", settings.Pool{
		Kind: settings.EnginePool, Model: model, TokenGap: tokenGap, MaxQueue: maxQueue,
	})
	tree.add("pools/"+string(servicePool)+".json", settings.Pool{
		Kind: settings.ServicePool, MaxQueue: maxQueue, NonIdempotentPaths: []string{"/file"},
	})
	tree.add("teams/bureau/team.json", settings.Team{
		AdminTokenHashes:  []string{settings.TokenHash(TeamToken)},
		CallerTokenHashes: []string{settings.TokenHash(CallerToken)},
		DefaultTier:       "interactive",
	})
	for _, t := range targets {
		tree.add("targets/"+string(t.declaration.Name)+".json", t.declaration)
	}
	return tree.documents, tree.err
}

// documentBuilder collects documents and the first encoding error.
type documentBuilder struct {
	documents []settings.Document
	err       error
}

func (t *documentBuilder) add(path string, declaration any) {
	body, err := json.MarshalIndent(declaration, "", "  ")
	if err != nil && t.err == nil {
		t.err = Error.Wrap(err)
	}
	t.documents = append(t.documents, settings.Document{Path: path, Body: string(body)})
}
