package api

// Paths of the HTTP interface.
const (
	PathApply     = "/v1/apply"
	PathDocuments = "/v1/documents"
	PathHistory   = "/v1/history"
	PathStatus    = "/v1/status"
	PathTimeline  = "/v1/timeline"
	PathUsage     = "/v1/usage"
	PathMetrics   = "/metrics"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
)

// Query parameters.
const (
	ParamVersion = "version"
	ParamPrefix  = "prefix"
	ParamAfter   = "after"
	ParamLimit   = "limit"
)
