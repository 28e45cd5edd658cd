package trial

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/storage"
)

const (
	// keyPrefix begins the keys of the rows.
	keyPrefix = "trial/"
	// beginTimeout bounds the write that begins a trial, for which a request waits.
	beginTimeout = 300 * time.Millisecond
	// refreshInterval is the time between two reads of the row of a trial in flight.
	refreshInterval = 250 * time.Millisecond
	// endTimeout bounds the write that ends one.
	endTimeout = 2 * time.Second
	// maxContents bounds the contents that a host remembers.
	maxContents = 1024
)

// Options configures a Ledger. All fields are required.
type Options struct {
	Table  storage.Table
	Host   ident.Host
	Logger *log.Logger
	Now    func() time.Time
}

// Ledger permits trials. It is safe for concurrent use.
type Ledger struct {
	options Options

	scanned atomic.Bool
	// background counts the writes that no request waits for.
	background sync.WaitGroup

	mu       sync.Mutex
	contents map[quarantine.Digest]*content
}

// NewLedger returns a Ledger.
func NewLedger(o Options) *Ledger {
	return &Ledger{options: o, contents: make(map[quarantine.Digest]*content)}
}

// Begin begins a trial of a request with the given suspects that lasts at most the given time,
// or says why none may begin. The caller must end the Run.
func (l *Ledger) Begin(ctx context.Context, suspects []quarantine.Digest, lease time.Duration) (*Run, *Denial) {
	l.refresh(ctx, suspects)
	if denial := l.reserve(suspects); denial != nil {
		l.renew(suspects, denial)
		return nil, denial
	}
	run, denial := l.claim(ctx, suspects, lease)
	if denial != nil {
		l.release(suspects)
	}
	return run, denial
}

// Denied returns why no trial of a request with the given suspects may begin as far as this
// host knows without asking the table, or nil.
func (l *Ledger) Denied(suspects []quarantine.Digest) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.denial(suspects)
}

// denial is Denied for callers that hold l.mu. Of several denials it returns the one that lasts
// longest.
func (l *Ledger) denial(suspects []quarantine.Digest) *Denial {
	var longest *Denial
	for _, digest := range suspects {
		if c := l.contents[digest]; c != nil {
			longest = longer(longest, c.denial(l.options.Now()))
		}
	}
	return longest
}

// refresh reads the rows again of which a trial of another host was in flight when they were
// last read.
func (l *Ledger) refresh(ctx context.Context, suspects []quarantine.Digest) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	for _, digest := range suspects {
		if l.dueForRefresh(digest) {
			l.read(ctx, digest)
		}
	}
}

// read reads the row of a suspect.
func (l *Ledger) read(ctx context.Context, digest quarantine.Digest) {
	current, err := l.options.Table.Get(ctx, rowKey(digest))
	switch {
	case errors.Is(err, storage.ErrNotFound):
		l.see(digest, nil, 0)
	case err != nil:
		l.options.Logger.Warn().Err(err).Stringer("digest", digest).Msg("Reading the row of a trial failed; using what was read before.")
	default:
		row := l.decode(current)
		l.see(digest, &row, current.Revision)
	}
}

func (l *Ledger) dueForRefresh(digest quarantine.Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, now := l.contentOf(digest), l.options.Now()
	denial := c.denial(now)
	if c.inFlight || denial == nil || denial.Cause != InProgress || now.Sub(c.readAt) < refreshInterval {
		return false
	}
	c.readAt = now
	return true
}

// decode decodes a row. One that cannot be decoded permits the next trial, which replaces it.
func (l *Ledger) decode(current storage.Row) record {
	row, err := decodeRecord(current.Value)
	if err != nil {
		l.options.Logger.Error().Err(err).Str("key", current.Key).Msg("The row of a trial cannot be decoded; replacing it.")
	}
	return row
}

// reserve keeps other requests of this host from beginning a trial with any of the suspects.
func (l *Ledger) reserve(suspects []quarantine.Digest) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	if denial := l.denial(suspects); denial != nil {
		return denial
	}
	for _, digest := range suspects {
		l.contentOf(digest).inFlight = true
	}
	return nil
}

func (l *Ledger) release(suspects []quarantine.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, digest := range suspects {
		l.contentOf(digest).inFlight = false
	}
}

// contentOf returns what is known of a content. It forgets others that are not in flight
// if there are too many. The caller holds l.mu.
func (l *Ledger) contentOf(digest quarantine.Digest) *content {
	if c := l.contents[digest]; c != nil {
		return c
	}
	for other, c := range l.contents {
		if len(l.contents) < maxContents {
			break
		}
		if !c.inFlight {
			delete(l.contents, other)
		}
	}
	c := &content{}
	l.contents[digest] = c
	return c
}

// maxClaimWrites is how often a trial is claimed after rows turned out to be others than were
// known.
const maxClaimWrites = 2

// claim writes the rows of a trial.
func (l *Ledger) claim(ctx context.Context, suspects []quarantine.Digest, lease time.Duration) (*Run, *Denial) {
	run := &Run{ledger: l, suspects: suspects, token: uuid.NewString()}
	for range maxClaimWrites {
		changes := l.nextRows(suspects, run.token, lease)
		written, err := l.write(ctx, beginTimeout, changes)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			l.seeWritten(changes, written)
			run.changes, run.stored = changes, true
			return run, nil
		case !errors.As(err, &conflict):
			l.options.Logger.Warn().Err(err).Stringer("digest", suspects[0]).
				Msg("Beginning a trial in the table failed; this host permits it by itself.")
			return run, nil
		}
		if denial := l.seeConflict(suspects, conflict); denial != nil {
			return nil, denial
		}
	}
	return nil, &Denial{Cause: InProgress, RetryAfter: inProgressRetryAfter}
}

// nextRows returns the rows of the next trial with the suspects.
func (l *Ledger) nextRows(suspects []quarantine.Digest, token string, lease time.Duration) []rowChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := make([]rowChange, 0, len(suspects))
	for _, digest := range suspects {
		c := l.contentOf(digest)
		row := c.next(l.options.Host, token, lease)
		changes = append(changes, rowChange{digest: digest, row: &row, revision: c.revision})
	}
	return changes
}

// see stores the known row of a suspect.
func (l *Ledger) see(digest quarantine.Digest, row *record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contentOf(digest).see(l.options.Now(), row, revision)
}

// seeWritten stores rows that were written with a revision.
func (l *Ledger) seeWritten(changes []rowChange, revision uint64) {
	for _, c := range changes {
		if c.row == nil {
			l.see(c.digest, nil, 0)
		} else {
			l.see(c.digest, c.row, revision)
		}
	}
}

// seeConflict stores the rows that other hosts wrote, and returns why they permit no trial,
// or nil.
func (l *Ledger) seeConflict(suspects []quarantine.Digest, conflict *storage.ConflictError) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *Denial
	for _, digest := range suspects {
		c := l.contentOf(digest)
		if current, conflicts := conflictingRow(conflict, digest); conflicts {
			l.seeCurrent(c, current)
		}
		longest = longer(longest, c.rowDenial(l.options.Now()))
	}
	return longest
}

// seeCurrent stores the row that the table has now; one of revision zero does not exist.
func (l *Ledger) seeCurrent(c *content, current storage.Row) {
	if current.Revision == 0 {
		c.see(l.options.Now(), nil, 0)
		return
	}
	row := l.decode(current)
	c.see(l.options.Now(), &row, current.Revision)
}

// conflictingRow returns the current row of a suspect if it is another one than was known.
func conflictingRow(conflict *storage.ConflictError, digest quarantine.Digest) (storage.Row, bool) {
	i := slices.IndexFunc(conflict.Rows, func(r storage.Row) bool { return r.Key == rowKey(digest) })
	if i < 0 {
		return storage.Row{}, false
	}
	return conflict.Rows[i], true
}

// rowChange replaces the row of a suspect if that has the revision. A nil row removes it.
type rowChange struct {
	digest   quarantine.Digest
	row      *record
	revision uint64
}

// write applies all changes, or none, and returns the new revision.
func (l *Ledger) write(ctx context.Context, timeout time.Duration, changes []rowChange) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var t storage.Transaction
	for _, c := range changes {
		key := rowKey(c.digest)
		t.Checks = append(t.Checks, storage.Check{Key: key, Revision: c.revision})
		if c.row == nil {
			t.Deletes = append(t.Deletes, key)
			continue
		}
		value, err := c.row.encode(l.options.Now())
		if err != nil {
			return 0, err
		}
		t.Puts = append(t.Puts, storage.Put{Key: key, Value: value})
	}
	return l.options.Table.Commit(ctx, t)
}

func rowKey(digest quarantine.Digest) string { return keyPrefix + digest.String() }
