// Package quarantine identifies requests that crash the targets that run them, so that
// they can be kept from the remaining targets.
//
// A digest identifies the whole content of a request, whichever attempt carries it, or one part
// of its prompt, whichever request has it. A crash is
// the unplanned end of a target's process, with the digests that were running on it. Each
// crash is a strike against each of them, unless their runs began before the previous strike.
// A digest with a strike is a suspect. It runs only in trials, of which one at a time is in
// flight over all hosts (package trial); the crash of a trial is always another strike.
// Threshold strikes, with no run that was served in between, quarantine a digest for Duration.
// A crash is no strike if another target that did not run the digest ended at the same time:
// both have a common cause then. For a trial, only targets that ended since its beginning count.
// A served run clears the whole content and each part of the crashes before it. A crash that a
// quarantined digest took part in is attributed to it and is no strike against the digests that
// ran beside it.
//
// Digests that reach the threshold by the same strikes tie. If whole contents are among them,
// these are quarantined and the parts stay suspects. Parts that tie are quarantined as a group:
// requests that have all of them are refused, and those that have some run in trials, which
// distinguish the parts.
//
// Hosts exchange crashes, not verdicts. Merging is commutative, associative and idempotent,
// so all hosts that know the same crashes reach the same verdicts, in whatever order and
// however often they learned of them.
//
// The package has no clock, performs no I/O and starts no goroutines.
package quarantine
