package settings

// PoolKind is the kind of a pool's targets.
type PoolKind string

const (
	// EnginePool is a pool of model engines.
	EnginePool PoolKind = "engine"
	// ServicePool is a pool of plain services.
	ServicePool PoolKind = "service"
)
