package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// maxBatch bounds the rows of one transaction.
	maxBatch = 64
	// queueLength bounds the writes that wait for a transaction.
	queueLength = 1024
)

// committer puts the writes of this host into shared transactions, one
// transaction at a time: what comes in during one makes up the next.
type committer struct {
	table   storage.Table
	timeout time.Duration
	queue   chan *write
	// postponed is a write whose key was in the batch already.
	postponed *write
}

func newCommitter(table storage.Table, timeout time.Duration) *committer {
	return &committer{table: table, timeout: timeout, queue: make(chan *write, queueLength)}
}

// submit queues a write. It returns false if ctx ends before there is room.
func (c *committer) submit(ctx context.Context, w *write) bool {
	select {
	case c.queue <- w:
		return true
	case <-ctx.Done():
		return false
	}
}

// run commits until ctx ends.
func (c *committer) run(ctx context.Context) {
	for {
		batch := c.collect(ctx)
		if batch == nil {
			return
		}
		c.commit(ctx, batch)
	}
}

// collect waits for a write and adds those that wait behind it.
func (c *committer) collect(ctx context.Context) []*write {
	first := c.first(ctx)
	if first == nil {
		return nil
	}
	batch := []*write{first}
	keys := map[string]struct{}{first.key: {}}
	for len(batch) < maxBatch {
		select {
		case w := <-c.queue:
			if _, taken := keys[w.key]; taken {
				c.postponed = w
				return batch
			}
			keys[w.key] = struct{}{}
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

func (c *committer) first(ctx context.Context) *write {
	if w := c.postponed; w != nil {
		c.postponed = nil
		return w
	}
	select {
	case w := <-c.queue:
		return w
	case <-ctx.Done():
		return nil
	}
}

// commit writes the batch. Writes whose condition fails are taken out and the
// others are tried again, so that no write fails for its neighbours.
func (c *committer) commit(ctx context.Context, batch []*write) {
	for len(batch) > 0 {
		revision, err := c.transact(ctx, batch)
		if err == nil {
			answerAll(batch, writeResult{revision: revision})
			return
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			answerAll(batch, writeResult{err: err})
			return
		}
		rest := answerConflicts(batch, conflict.Rows)
		if len(rest) == len(batch) {
			answerAll(batch, writeResult{err: Error.New("a conflict names no row of the transaction")})
			return
		}
		batch = rest
	}
}

func (c *committer) transact(ctx context.Context, batch []*write) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	return c.table.Commit(ctx, transaction(batch))
}

func transaction(batch []*write) storage.Transaction {
	var t storage.Transaction
	for _, w := range batch {
		t.Checks = append(t.Checks, storage.Check{Key: w.key, Revision: w.revision})
		if w.value == nil {
			t.Deletes = append(t.Deletes, w.key)
			continue
		}
		t.Puts = append(t.Puts, storage.Put{Key: w.key, Value: w.value})
	}
	return t
}

func answerAll(batch []*write, result writeResult) {
	for _, w := range batch {
		w.done <- result
	}
}

// answerConflicts answers the writes whose rows are listed and returns the
// others.
func answerConflicts(batch []*write, rows []storage.Row) []*write {
	current := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	var rest []*write
	for _, w := range batch {
		row, ok := current[w.key]
		if !ok {
			rest = append(rest, w)
			continue
		}
		w.done <- writeResult{conflict: &row}
	}
	return rest
}
