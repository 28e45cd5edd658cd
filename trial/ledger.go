package trial

import (
	"context"
	"errors"
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

// Begin begins a trial that lasts at most the given time, or says why none may begin. The
// caller must end the Run.
func (l *Ledger) Begin(ctx context.Context, digest quarantine.Digest, lease time.Duration) (*Run, *Denial) {
	l.refresh(ctx, digest)
	if denial := l.reserve(digest); denial != nil {
		l.renew(digest, denial)
		return nil, denial
	}
	run, denial := l.claim(ctx, digest, lease)
	if denial != nil {
		l.release(digest)
	}
	return run, denial
}

// Denied returns why no trial of the content may begin as far as this host knows without
// asking the table, or nil.
func (l *Ledger) Denied(digest quarantine.Digest) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contents[digest]
	switch {
	case c == nil:
		return nil
	case c.inFlight:
		return &Denial{Cause: InProgress, RetryAfter: inProgressRetryAfter}
	default:
		return c.denial(l.options.Now())
	}
}

// refresh reads the row again if a trial of another host was in flight when it was last read.
func (l *Ledger) refresh(ctx context.Context, digest quarantine.Digest) {
	if !l.dueForRefresh(digest) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
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

// reserve keeps other requests of this host from beginning a trial of the content.
func (l *Ledger) reserve(digest quarantine.Digest) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contentOf(digest)
	if c.inFlight {
		return &Denial{Cause: InProgress, RetryAfter: inProgressRetryAfter}
	}
	if denial := c.denial(l.options.Now()); denial != nil {
		return denial
	}
	c.inFlight = true
	return nil
}

func (l *Ledger) release(digest quarantine.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contentOf(digest).inFlight = false
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

// maxClaimWrites is how often a trial is claimed anew after the row turned out to be another
// one than was known.
const maxClaimWrites = 2

// claim writes the row of a trial.
func (l *Ledger) claim(ctx context.Context, digest quarantine.Digest, lease time.Duration) (*Run, *Denial) {
	run := &Run{ledger: l, digest: digest, token: uuid.NewString()}
	for range maxClaimWrites {
		row, revision := l.nextRow(digest, run.token, lease)
		written, err := l.write(ctx, beginTimeout, digest, &row, revision)
		var conflict *storage.ConflictError
		switch {
		case err == nil:
			l.see(digest, &row, written)
			run.row, run.stored = row, true
			return run, nil
		case !errors.As(err, &conflict):
			l.options.Logger.Warn().Err(err).Stringer("digest", digest).
				Msg("Beginning a trial in the table failed; this host permits it by itself.")
			return run, nil
		}
		if denial := l.seeConflict(digest, conflict); denial != nil {
			return nil, denial
		}
	}
	return nil, &Denial{Cause: InProgress, RetryAfter: inProgressRetryAfter}
}

func (l *Ledger) nextRow(digest quarantine.Digest, token string, lease time.Duration) (record, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contentOf(digest)
	return c.next(l.options.Host, token, lease), c.revision
}

// see stores the known row of a content.
func (l *Ledger) see(digest quarantine.Digest, row *record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contentOf(digest).see(l.options.Now(), row, revision)
}

// seeConflict stores the row that another host wrote, and returns why it permits no trial,
// or nil.
func (l *Ledger) seeConflict(digest quarantine.Digest, conflict *storage.ConflictError) *Denial {
	var row *record
	revision := uint64(0)
	for _, current := range conflict.Rows {
		if current.Key != rowKey(digest) || current.Revision == 0 {
			continue
		}
		decoded := l.decode(current)
		row, revision = &decoded, current.Revision
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contentOf(digest)
	c.see(l.options.Now(), row, revision)
	return c.denial(l.options.Now())
}

// write writes a content's row if it has the revision, and returns the new one. A nil row
// removes it.
func (l *Ledger) write(ctx context.Context, timeout time.Duration, digest quarantine.Digest, row *record, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	t := storage.Transaction{Checks: []storage.Check{{Key: rowKey(digest), Revision: revision}}}
	if row == nil {
		t.Deletes = []string{rowKey(digest)}
		return l.options.Table.Commit(ctx, t)
	}
	value, err := row.encode(l.options.Now())
	if err != nil {
		return 0, err
	}
	t.Puts = []storage.Put{{Key: rowKey(digest), Value: value}}
	return l.options.Table.Commit(ctx, t)
}

func rowKey(digest quarantine.Digest) string { return keyPrefix + digest.String() }

// renewInterval is the age at which the row of content that is still asked for is written
// again, so that it is not swept.
const renewInterval = quarantine.Retention / 4

// renew writes the row of content of which no more trials are permitted again if it has
// become old.
func (l *Ledger) renew(digest quarantine.Digest, denial *Denial) {
	if denial.Cause != Exhausted {
		return
	}
	row, revision, due := l.dueForRenewal(digest)
	if !due {
		return
	}
	l.background.Go(func() {
		written, err := l.write(context.Background(), endTimeout, digest, &row, revision)
		var conflict *storage.ConflictError
		if errors.As(err, &conflict) {
			l.seeConflict(digest, conflict)
			return
		}
		if err != nil {
			l.options.Logger.Warn().Err(err).Stringer("digest", digest).Msg("Renewing the row of exhausted trials failed; trying again with the next request.")
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if c := l.contentOf(digest); c.revision == revision {
			c.row, c.revision = &row, written
		}
	})
}

func (l *Ledger) dueForRenewal(digest quarantine.Digest) (row record, revision uint64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contentOf(digest)
	if c.row == nil || l.options.Now().UnixMilli()-c.row.AtMs < renewInterval.Milliseconds() {
		return record{}, 0, false
	}
	return *c.row, c.revision, true
}
