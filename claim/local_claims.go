package claim

import "sync"

// localClaims holds the local claims of this process by row key.
type localClaims struct {
	mu    sync.Mutex
	byKey map[string]*localClaim
}

func newLocalClaims() *localClaims {
	return &localClaims{byKey: make(map[string]*localClaim)}
}

func (l *localClaims) get(key string) *localClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byKey[key]
}

// add adds the claim and returns nil, or returns the existing claim on the same key.
func (l *localClaims) add(c *localClaim) *localClaim {
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing := l.byKey[c.key]; existing != nil {
		return existing
	}
	l.byKey[c.key] = c
	return nil
}

func (l *localClaims) remove(c *localClaim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey[c.key] == c {
		delete(l.byKey, c.key)
	}
}
