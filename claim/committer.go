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
	deferred *write
}

func newCommitter(table storage.Table, timeout time.Duration) *committer {
	return &committer{table: table, timeout: timeout, queue: make(chan *write, queueLength)}
}

// submit queues a write. It returns false if ctx ends before there is room.
func (c *committer) enqueue(ctx context.Context, w *write) bool {
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
		batch := c.nextBatch(ctx)
		if batch == nil {
			return
		}
		c.commit(ctx, batch)
	}
}

// collect waits for a write and adds those that wait behind it.
func (c *committer) nextBatch(ctx context.Context) []*write {
	nextWrite := c.nextWrite(ctx)
	if nextWrite == nil {
		return nil
	}
	batch := []*write{nextWrite}
	keys := map[string]struct{}{nextWrite.key: {}}
	for len(batch) < maxBatch {
		select {
		case w := <-c.queue:
			if _, duplicate := keys[w.key]; duplicate {
				c.deferred = w
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

func (c *committer) nextWrite(ctx context.Context) *write {
	if w := c.deferred; w != nil {
		c.deferred = nil
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
		revision, err := c.commitBatch(ctx, batch)
		if err == nil {
			completeAll(batch, writeResult{revision: revision})
			return
		}
		var conflict *storage.ConflictError
		if !errors.As(err, &conflict) {
			completeAll(batch, writeResult{err: err})
			return
		}
		remaining := completeConflicts(batch, conflict.Rows)
		if len(remaining) == len(batch) {
			completeAll(batch, writeResult{err: Error.New("a conflict names no row of the transaction")})
			return
		}
		batch = remaining
	}
}

func (c *committer) commitBatch(ctx context.Context, batch []*write) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	return c.table.Commit(ctx, newTransaction(batch))
}

func newTransaction(batch []*write) storage.Transaction {
	var transaction storage.Transaction
	for _, w := range batch {
		transaction.Checks = append(transaction.Checks, storage.Check{Key: w.key, Revision: w.revision})
		if w.value == nil {
			transaction.Deletes = append(transaction.Deletes, w.key)
			continue
		}
		transaction.Puts = append(transaction.Puts, storage.Put{Key: w.key, Value: w.value})
	}
	return transaction
}

func completeAll(batch []*write, result writeResult) {
	for _, w := range batch {
		w.done <- result
	}
}

// answerConflicts answers the writes whose rows are listed and returns the
// others.
func completeConflicts(batch []*write, rows []storage.Row) []*write {
	current := make(map[string]storage.Row, len(rows))
	for _, row := range rows {
		current[row.Key] = row
	}
	var remaining []*write
	for _, w := range batch {
		row, ok := current[w.key]
		if !ok {
			remaining = append(remaining, w)
			continue
		}
		w.done <- writeResult{conflict: &row}
	}
	return remaining
}
