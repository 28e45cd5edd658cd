package claim

import (
	"context"
	"errors"
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

const (
	// maxBatch is the maximum number of rows in one transaction.
	maxBatch = 64
	// queueLength is the maximum number of writes that wait for a transaction.
	queueLength = 1024
)

// committer groups the writes of this host into transactions. It runs one transaction
// at a time; writes that arrive meanwhile form the next one.
type committer struct {
	table   storage.Table
	timeout time.Duration
	queue   chan *write
	// deferred is a write that was left for the next batch because its key was already
	// in the current one.
	deferred *write
}

func newCommitter(table storage.Table, timeout time.Duration) *committer {
	return &committer{table: table, timeout: timeout, queue: make(chan *write, queueLength)}
}

// enqueue adds a write to the queue. It returns false if ctx ends while the queue is
// full.
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

// nextBatch waits for a write and adds the writes that are queued behind it. It
// returns nil if ctx ends first.
func (c *committer) nextBatch(ctx context.Context) []*write {
	first := c.nextWrite(ctx)
	if first == nil {
		return nil
	}
	batch := []*write{first}
	keys := map[string]struct{}{first.key: {}}
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

// commit writes the batch. Writes that conflict are removed and the remaining ones are
// retried, so that no write fails because of another one.
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
			completeAll(batch, writeResult{err: Error.New("commit failed with a conflict that lists no row of the transaction")})
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

// completeConflicts completes the writes whose rows are listed as conflicts and
// returns the others.
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
