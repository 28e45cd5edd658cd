// Package roster keeps the list of targets through outages of the store. Targets'
// entries may lapse while the store is away, so an entry that is missing right
// after its return says nothing yet.
package roster
