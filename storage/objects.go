package storage

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put stores data under name, replacing what was there.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object; an absent one is no error.
	Delete(ctx context.Context, name string) error
}
