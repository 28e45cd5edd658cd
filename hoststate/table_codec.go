package hoststate

import (
	"github.com/cornelyard/cornelyard/freshness"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
)

func encodeTables(statements []freshness.Statement) []*hostpb.TableState {
	states := make([]*hostpb.TableState, 0, len(statements))
	for _, s := range statements {
		states = append(states, &hostpb.TableState{Table: clampUint32(int(s.Table)), Digest: s.Digest, AsOfMs: s.AsOfMs, Frequent: s.Frequent})
	}
	return states
}

func decodeTables(states []*hostpb.TableState) []freshness.Statement {
	var statements []freshness.Statement
	for _, s := range states {
		statements = append(statements, freshness.Statement{
			Table: freshness.Table(s.GetTable()), Digest: s.GetDigest(), AsOfMs: s.GetAsOfMs(), Frequent: s.GetFrequent(),
		})
	}
	return statements
}
