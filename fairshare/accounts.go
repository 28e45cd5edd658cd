package fairshare

import (
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is that of the decay of past use. It is a few times the age of reports, and
	// short enough that what a team took in one overload does not count in the next.
	timeConstant = 2 * time.Second
	// idleLevelRatio is the level of a team that was idle, relative to the least level of the
	// teams that wait. The gap lets a team with little demand go first at every host, although
	// reports are some tenths of a second old. It is what a team that was idle gains: about
	// (1 - idleLevelRatio) * timeConstant of the capacity, no more than the age of a report.
	idleLevelRatio = 0.9
	// minUsed is the use, in seconds, below which an account without requests is dropped.
	minUsed = 1e-4
	// maxAccounts bounds the accounts of a pool. Teams beyond it have no account and come
	// after those with one.
	maxAccounts = 4096
)

// Accounts holds the accounts of one pool.
type Accounts struct {
	accounts map[Key]*account
	// ordered holds the accounts ordered by key, so that sums of them don't depend on the order
	// of a map.
	ordered   []*account
	updatedAt time.Time
}

// NewAccounts returns accounts without use.
func NewAccounts() *Accounts { return &Accounts{accounts: make(map[Key]*account)} }

// Decayed returns what remains of a use after an age.
func Decayed(used float64, age time.Duration) float64 {
	return used * math.Exp(-max(age, 0).Seconds()/timeConstant.Seconds())
}

// Charge adds granted slot time, in seconds, to the use of a team at this host.
func (a *Accounts) Charge(now time.Time, key Key, cost float64) {
	a.advance(now)
	if account := a.open(key); account != nil {
		account.own.Used += cost
	}
}

// ReplaceOwnQueued sets what this host has queued of each team, in seconds.
func (a *Accounts) ReplaceOwnQueued(now time.Time, queued map[Key]float64) {
	a.advance(now)
	for key := range queued {
		if known := a.accounts[key]; known == nil || known.queued() == 0 {
			a.lift(key)
		}
	}
	for _, account := range a.ordered {
		account.own.Queued = 0
	}
	for key, sum := range queued {
		if account := a.open(key); account != nil {
			account.own.Queued = sum
		}
	}
	a.dropUnused()
}

// ReplaceOthers sets the totals that the other hosts report.
func (a *Accounts) ReplaceOthers(now time.Time, totals map[Key]Load) {
	a.advance(now)
	for _, account := range a.ordered {
		account.others = Load{}
	}
	for key, total := range totals {
		if account := a.open(key); account != nil {
			account.others = total
		}
	}
	a.dropUnused()
}

// lift raises the level of a team that waits again near the least level of its competitors, so
// that it saves up no credit while idle.
func (a *Accounts) lift(key Key) {
	least := math.Inf(1)
	for _, account := range a.ordered {
		if account.key != key && account.key.sameRank(key) && account.queued() > 0 {
			least = min(least, account.level())
		}
	}
	if math.IsInf(least, 1) {
		return
	}
	if account := a.open(key); account != nil {
		account.lift += max(idleLevelRatio*least-account.level(), 0)
	}
}

// Level returns the start tag of the next request of a team, in seconds.
func (a *Accounts) Level(now time.Time, key Key) float64 {
	a.advance(now)
	if account := a.accounts[key]; account != nil {
		return account.level()
	}
	if len(a.accounts) >= maxAccounts {
		return math.MaxFloat64
	}
	return 0
}

// Contested reports whether another team competes with a team at its rank. A team that is alone
// needs no start tags.
func (a *Accounts) Contested(key Key) bool {
	for _, account := range a.ordered {
		if account.key != key && account.key.sameRank(key) {
			return true
		}
	}
	return false
}

// QueuedElsewhere returns what the other hosts have queued of a team, in seconds.
func (a *Accounts) QueuedElsewhere(key Key) float64 {
	if account := a.accounts[key]; account != nil {
		return account.others.Queued
	}
	return 0
}

// AheadShare returns the part of the slot time queued at the other hosts in a rank that comes
// before a request with the given start tag, where teamShare is that part for the team of the
// request itself. It returns false if the other hosts report nothing queued.
func (a *Accounts) AheadShare(now time.Time, key Key, tag, teamShare float64) (share float64, known bool) {
	a.advance(now)
	ahead, queued := 0.0, 0.0
	for _, account := range a.ordered {
		if !account.key.sameRank(key) || account.others.Queued <= 0 {
			continue
		}
		queued += account.others.Queued
		if account.key == key {
			ahead += teamShare * account.others.Queued
			continue
		}
		part := min(max(tag-account.level(), 0), account.queued())
		ahead += part * account.others.Queued / account.queued()
	}
	if queued == 0 {
		return 0, false
	}
	return ahead / queued, true
}

// QueuedShare returns the part of all queued slot time of the pool that this host has queued.
func (a *Accounts) QueuedShare() float64 {
	own, all := 0.0, 0.0
	for _, account := range a.ordered {
		own += account.own.Queued
		all += account.queued()
	}
	if all == 0 {
		return 1
	}
	return own / all
}

// Own iterates over what this host uses and wants.
func (a *Accounts) Own(now time.Time) iter.Seq2[Key, Load] {
	a.advance(now)
	return func(yield func(Key, Load) bool) {
		for _, account := range a.ordered {
			if account.own.Used < minUsed && account.own.Queued == 0 {
				continue
			}
			if !yield(account.key, account.own) {
				return
			}
		}
	}
}

// open returns the account of a key, or nil if it would be one too many.
func (a *Accounts) open(key Key) *account {
	known := a.accounts[key]
	if known == nil && len(a.accounts) < maxAccounts {
		known = &account{key: key}
		a.accounts[key] = known
		at, _ := slices.BinarySearchFunc(a.ordered, key, func(other *account, key Key) int { return other.key.compare(key) })
		a.ordered = slices.Insert(a.ordered, at, known)
	}
	return known
}

// advance lets past use decay until now.
func (a *Accounts) advance(now time.Time) {
	if !a.updatedAt.IsZero() && now.After(a.updatedAt) {
		factor := Decayed(1, now.Sub(a.updatedAt))
		for _, account := range a.ordered {
			account.decay(factor)
		}
	}
	if now.After(a.updatedAt) {
		a.updatedAt = now
	}
}

func (a *Accounts) dropUnused() {
	a.ordered = slices.DeleteFunc(a.ordered, func(account *account) bool {
		unused := account.level() < minUsed && account.queued() == 0
		if unused {
			delete(a.accounts, account.key)
		}
		return unused
	})
}
