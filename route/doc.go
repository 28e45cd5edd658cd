// Package route holds one version of the routing rules that an operator wrote:
// which requests go to which pool, which team a key belongs to, and the limits
// that apply. A version does not change once it is built, so that it can be
// shared between requests.
package route
