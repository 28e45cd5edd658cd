package settings

import "github.com/cornelyard/cornelyard/storage"

// transactionBuilder collects the checks and writes of a transaction and the last
// encoding error.
type transactionBuilder struct {
	transaction storage.Transaction
	err         error
}

func (b *transactionBuilder) check(key string, revision uint64) {
	b.transaction.Checks = append(b.transaction.Checks, storage.Check{Key: key, Revision: revision})
}

func (b *transactionBuilder) put(key string, value any) {
	put, err := putRow(key, value)
	if err != nil {
		b.err = err
		return
	}
	b.transaction.Puts = append(b.transaction.Puts, put)
}

func (b *transactionBuilder) edit(e Edit, version uint64) {
	if e.Removes() {
		b.transaction.Deletes = append(b.transaction.Deletes, documentKey(e.Path))
		return
	}
	b.put(documentKey(e.Path), documentRow{Body: e.After, Version: version})
}
