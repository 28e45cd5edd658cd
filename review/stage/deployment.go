package stage

import "fmt"

// Paths of the routes.
const (
	SubmitPath = "/lohu930/"
	StatusPath = "/cuti104/"
	// StreamPath is that of streams that may be resumed.
	StreamPath = "/pufi791/"
)

// Service is the plain service behind the routes, ModelService that of the model replicas.
const (
	Service      = "returns-desk"
	ModelService = "cornelyard-pool"
)

// Configuration returns the operator's configuration: the plain routes of the site lrrb-index.
func Configuration(version int) map[string]any {
	route := func(path, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": path, "host": HostName, "path_prefix": path, "type": kind, "service": Service, "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "max_attempts": attempts,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route(SubmitPath, "non_idempotent", 1), route(StatusPath, "idempotent", 2)},
		"services": []any{map[string]any{"name": Service, "max_connections": 96, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": Tenant, "api_keys": []string{Key}}},
	}
}

// WithStreams adds a route of resumable streams to a configuration.
func WithStreams(configuration map[string]any, timeoutMs int) map[string]any {
	routes, _ := configuration["routes"].([]any)
	services, _ := configuration["services"].([]any)
	configuration["routes"] = append(routes, map[string]any{
		"name": "streams", "host": HostName, "path_prefix": StreamPath, "type": "streaming", "service": ModelService,
		"timeout_ms": timeoutMs, "target_latency_ms": 400, "gap_target_ms": 250, "priority": 1, "max_attempts": 2,
		"resumable": true, "sticky": true,
	})
	configuration["services"] = append(services, map[string]any{
		"name": ModelService, "max_connections": 360, "health_path": "/healthz",
		"engine": map[string]any{"slots": 7, "kv_capacity": 310100, "stride": 3, "models": []any{map[string]any{"name": "m"}}},
	})
	return configuration
}

// Zones are those of the hosts of the site lrrb-index.
var Zones = []string{"col-a", "col-a", "col-b", "col-b", "col-c", "col-d"}

// StartHosts starts the hosts of the site lrrb-index and waits until they are ready.
func (s *Stage) StartHosts() error {
	for i, zone := range Zones {
		h, err := s.AddHost(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
	}
	return s.WaitReady(readyTime)
}
