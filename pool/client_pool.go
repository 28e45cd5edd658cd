package pool

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// clientPool is what this entry has in one pool of one data centre.
type clientPool struct {
	key key
	// owner is the host that was last told about the tickets.
	owner   ident.Host
	tickets map[ident.Request]*ticket
	// progress waits for the next flush, the newest report of each request.
	progress map[ident.Request]*peerpb.Progress
	// needReport says that the owner has to be told everything anew.
	needReport bool
}

func newClientPool(k key) *clientPool {
	return &clientPool{
		key:      k,
		tickets:  make(map[ident.Request]*ticket),
		progress: make(map[ident.Request]*peerpb.Progress),
	}
}

// takeProgress returns the waiting reports and forgets them.
func (p *clientPool) takeProgress() *peerpb.ProgressBatch {
	batch := &peerpb.ProgressBatch{Pool: string(p.key.pool)}
	for id, item := range p.progress {
		batch.Items = append(batch.Items, item)
		delete(p.progress, id)
	}
	return batch
}
