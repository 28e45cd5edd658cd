package settings_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/finding"
	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
)

func TestEachAcceptedChangeIsAVersion(t *testing.T) {
	f := newFixture(t)
	store := f.store()
	f.apply(store, firstChange())
	for _, deadline := range []string{"10s", "30s"} {
		f.apply(store, change("tiers/gold.json", tierBody(deadline)))
	}
	unchanged := f.apply(store, change("tiers/gold.json", tierBody("30s")))
	if unchanged.Changed || unchanged.Version != 3 {
		t.Errorf("a change without an effect gave %+v", unchanged)
	}
	records, err := f.store().History(context.Background(), 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	if len(records) != 3 || records[2].Version != 3 || records[2].Author != "ana" || records[2].Principal != "operator" {
		t.Fatalf("history %+v", records)
	}
	for version, want := range map[uint64]string{1: "30s", 2: "10s", 3: "30s", 0: "30s"} {
		tree, _, err := store.At(context.Background(), version)
		if err != nil {
			t.Fatal(err)
		}
		if d, _ := tree.Document("tiers/gold.json"); d.Body != tierBody(want) {
			t.Errorf("version %d has %s", version, d.Body)
		}
	}
	_, _, err = store.At(context.Background(), 9)
	var base *settings.UnknownVersionError
	if !errors.As(err, &base) {
		t.Errorf("reading a version that does not exist gave %v", err)
	}
}

func TestRefusedChangesHaveNoEffect(t *testing.T) {
	cases := []struct {
		name   string
		change func() settings.Change
		check  func(error) bool
	}{
		{"faulty document", func() settings.Change { return change("tiers/gold.json", `{"rank": 0}`) }, hasFinding("defaultDeadline: the field is missing")},
		{"tier in use", func() settings.Change {
			c := change("tiers/silver.json", `{"rank": 1, "defaultDeadline": "1s"}`)
			c.Deletes = []string{"tiers/gold.json"}
			return c
		}, hasFinding("tiers/gold.json: removed while in use by teams/desk/team.json, teams/press/team.json")},
		{"absent document", func() settings.Change {
			c := change("tiers/gold.json", tierBody("1s"))
			c.Deletes = []string{"tiers/none.json"}
			return c
		}, hasFinding("there is no such document")},
		{"no author, no reason", func() settings.Change {
			c := change("tiers/gold.json", tierBody("1s"))
			c.Author, c.Reason = "", "two\nlines"
			return c
		}, func(err error) bool { return hasFinding("author")(err) && hasFinding("reason")(err) }},
		{"document twice", func() settings.Change {
			c := change("tiers/gold.json", tierBody("1s"))
			c.Deletes = []string{"tiers/gold.json"}
			return c
		}, hasFinding("names the document twice")},
		{"another team's subtree", func() settings.Change {
			c := change("teams/press/team.json", teamBody("e", "f"))
			c.Principal = settings.TeamPrincipal("desk", hash("a"))
			return c
		}, isForbidden},
		{"a path with the prefix of the own subtree's name", func() settings.Change {
			c := change("teams/desk-2/team.json", teamBody("e", "f"))
			c.Principal = settings.TeamPrincipal("desk", hash("a"))
			return c
		}, isForbidden},
		{"shared document by a team", func() settings.Change {
			c := change("tiers/gold.json", tierBody("1s"))
			c.Principal = settings.TeamPrincipal("desk", hash("a"))
			return c
		}, isForbidden},
		{"another team's token", func() settings.Change {
			c := change("teams/desk/team.json", teamBody("e", "f"))
			c.Principal = settings.TeamPrincipal("desk", hash("c"))
			return c
		}, isForbidden},
		{"base above the newest version", func() settings.Change {
			c := change("tiers/gold.json", tierBody("1s"))
			c.Base = 7
			return c
		}, func(err error) bool { var base *settings.UnknownVersionError; return errors.As(err, &base) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			store := f.store()
			f.apply(store, firstChange())
			if _, err := store.Apply(context.Background(), c.change()); !c.check(err) {
				t.Errorf("got %v", err)
			}
			tree, version, err := f.store().At(context.Background(), 0)
			if err != nil || version != 1 || tree.Len() != 3 {
				t.Errorf("version %d with %d documents, %v", version, tree.Len(), err)
			}
		})
	}
}

func hasFinding(part string) func(error) bool {
	return func(err error) bool {
		var list finding.List
		return errors.As(err, &list) && strings.Contains(list.Error(), part)
	}
}

func isForbidden(err error) bool {
	var forbidden *settings.ForbiddenError
	return errors.As(err, &forbidden)
}

func TestTeamChangesItsOwnSubtree(t *testing.T) {
	f := newFixture(t)
	store := f.store()
	f.apply(store, firstChange())
	c := change("teams/desk/team.json", teamBody("e", "b"))
	c.Principal = settings.TeamPrincipal("desk", hash("a"))
	f.apply(store, c)

	c = change("teams/desk/team.json", teamBody("a", "b"))
	c.Principal = settings.TeamPrincipal("desk", hash("a"))
	if _, err := store.Apply(context.Background(), c); !isForbidden(err) {
		t.Errorf("a change with the replaced token gave %v", err)
	}
}

func TestConflictNamesBothVersionsAndAuthors(t *testing.T) {
	f := newFixture(t)
	store := f.store()
	f.apply(store, firstChange())
	theirs := change("tiers/gold.json", tierBody("10s"))
	theirs.Author, theirs.Reason = "bea", "faster"
	f.apply(f.store(), theirs)
	f.apply(f.store(), change("teams/press/team.json", teamBody("c", "e")))

	mine := change("tiers/gold.json", tierBody("20s"))
	mine.Base = 1
	_, err := store.Apply(context.Background(), mine)
	var conflict *settings.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Conflicts) != 1 {
		t.Fatalf("got %v", err)
	}
	got := conflict.Conflicts[0]
	if got.Base != 1 || got.Author != "ana" || got.Theirs.Version != 2 || got.Theirs.Author != "bea" {
		t.Errorf("conflict %+v", got)
	}
	other := change("teams/desk/team.json", teamBody("a", "f"))
	other.Base = 1
	if result := f.apply(store, other); result.Version != 4 {
		t.Errorf("a change of another document gave %+v", result)
	}
}

// TestConcurrentChangesOfOneDocumentConflict commits a change between the read and the
// commit of another one to the same document. Neither names a base, so the base is the
// version read at the first attempt.
func TestConcurrentChangesOfOneDocumentConflict(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), firstChange())
	table := &hookedTable{Table: f.table(), beforeCommit: func() {
		f.apply(f.store(), change("tiers/gold.json", tierBody("10s")))
	}}
	store := settings.NewStore(settings.StoreOptions{Table: table, Timeout: waitTimeout})
	_, err := store.Apply(context.Background(), change("tiers/gold.json", tierBody("20s")))
	var conflict *settings.ConflictError
	if !errors.As(err, &conflict) || conflict.Conflicts[0].Base != 1 || conflict.Conflicts[0].Theirs.Version != 2 {
		t.Fatalf("got %v", err)
	}
}

func TestConcurrentChangesOfDifferentDocumentsAreBothAccepted(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), firstChange())
	table := &hookedTable{Table: f.table(), beforeCommit: func() {
		f.apply(f.store(), change("tiers/gold.json", tierBody("10s")))
	}}
	store := settings.NewStore(settings.StoreOptions{Table: table, Timeout: waitTimeout})
	if result := f.apply(store, change("teams/desk/team.json", teamBody("e", "f"))); result.Version != 3 {
		t.Fatalf("got %+v", result)
	}
}

// hookedTable calls beforeCommit before the first commit.
type hookedTable struct {
	storage.Table
	beforeCommit func()
}

func (h *hookedTable) Commit(ctx context.Context, t storage.Transaction) (uint64, error) {
	if h.beforeCommit != nil {
		hook := h.beforeCommit
		h.beforeCommit = nil
		hook()
	}
	return h.Table.Commit(ctx, t)
}

func TestUnknownCommitOutcomeIsResolvedByReading(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
	}{
		{"lost confirmation", standin.Faults{LostConfirmations: 1}},
		{"lost request", standin.Faults{LostRequests: 1}},
		{"lost request, then lost confirmation", standin.Faults{LostRequests: 1, LostConfirmations: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			store := f.store()
			f.apply(store, firstChange())
			f.platform.SetFaults(c.faults)
			result := f.apply(store, change("tiers/gold.json", tierBody("10s")))
			if result.Version != 2 || !result.Changed || len(result.Edits) != 1 {
				t.Errorf("got %+v", result)
			}
			if head, err := store.Head(context.Background()); err != nil || head != 2 {
				t.Errorf("the head is %d, %v", head, err)
			}
		})
	}
}

func TestOutageAfterLostConfirmationIsAnUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), firstChange())
	table := f.table()
	store := settings.NewStore(settings.StoreOptions{
		Table:   &outageTable{Table: table, platform: f.platform},
		Timeout: 300 * time.Millisecond,
	})
	c := change("tiers/gold.json", tierBody("10s"))
	c.ID = "change-1"
	_, err := store.Apply(context.Background(), c)
	var unclear *settings.UnknownOutcomeError
	if !errors.As(err, &unclear) || unclear.ID != "change-1" {
		t.Fatalf("got %v", err)
	}
	f.platform.SetFaults(standin.Faults{})
	if again := f.apply(f.store(), c); again.Version != 2 {
		t.Errorf("repeating the change gave %+v", again)
	}
	if head, _ := store.Head(context.Background()); head != 2 {
		t.Errorf("the head is %d", head)
	}
}

// outageTable loses the confirmation of each commit and then starts an outage.
type outageTable struct {
	storage.Table
	platform *standin.Platform
}

func (o *outageTable) Commit(ctx context.Context, t storage.Transaction) (uint64, error) {
	o.platform.SetFaults(standin.Faults{LostConfirmations: 1})
	revision, err := o.Table.Commit(ctx, t)
	o.platform.SetFaults(standin.Faults{Outage: true})
	return revision, err
}

func TestOutageChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.apply(f.store(), firstChange())
	f.platform.SetFaults(standin.Faults{Outage: true})
	_, err := f.storeFor(100*time.Millisecond).Apply(context.Background(), change("tiers/gold.json", tierBody("10s")))
	var unclear *settings.UnknownOutcomeError
	if !errors.Is(err, storage.ErrUnavailable) || errors.As(err, &unclear) {
		t.Fatalf("got %v", err)
	}
	f.platform.SetFaults(standin.Faults{})
	if head, err := f.store().Head(context.Background()); err != nil || head != 1 {
		t.Errorf("the head is %d, %v", head, err)
	}
}
