package storewatch

// CallKind is what a call to the store was for and, if it waited for changes, how it ended.
type CallKind string

// Kinds of calls.
const (
	// CallRead reads rows.
	CallRead CallKind = "read"
	// CallTransaction writes rows.
	CallTransaction CallKind = "transaction"
	// CallChanges waited for changes and got some, and CallNoChanges got none within its time
	// or failed.
	CallChanges   CallKind = "changes"
	CallNoChanges CallKind = "no-changes"
)

// Call is a call to the store that has ended.
type Call struct {
	Kind CallKind
	// Table is that of the first row, if the call is a transaction.
	Table string
	// Err is nil if the store responded, or if the call was ended early so that another one can confirm
	// the targets.
	Err error
}
