package storage

import "context"

// Objects is the platform's object store.
type Objects interface {
	// Put stores data under name and replaces an existing object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object. It succeeds if the object is absent.
	Delete(ctx context.Context, name string) error
}
