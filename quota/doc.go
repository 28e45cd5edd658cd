// Package quota bounds what each team uses over all hosts together.
//
// A quota is a rate and a burst, measured over a sliding window with a tolerance.
// Every host counts the team's whole use: what it let through itself, and what the
// others tell. A host that is not heard is assumed to use its equal share, so hosts
// that cannot talk stay within the limit together.
package quota
