// Package loadtable summarizes how the requests in gateway logs were served, by team, route,
// target and other properties. It has neither I/O nor a clock.
//
// What a Table holds is bounded by MaxGroups groups, each with two histograms of at most 14 KB.
// Requests that belong to none of the first MaxGroups groups are counted together.
package loadtable
