// Package route holds one version of the operator's routing configuration: which pool
// serves a request, which team owns an API key, and which limits apply. A version is
// immutable, so requests share it without locking.
package route
