package restapi

// URL paths.
const (
	RowPath          = "/v1/row"
	RowsPath         = "/v1/rows"
	TransactionsPath = "/v1/transactions"
	ObjectPath       = "/v1/object"
	HostsPath        = "/v1/hosts"
)

// Query parameters.
const (
	KeyParam    = "key"
	PrefixParam = "prefix"
	AfterParam  = "after"
	LimitParam  = "limit"
	NameParam   = "name"
)
