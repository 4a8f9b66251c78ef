package admission

import (
	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// Deps is what admission works with. All fields must be set.
type Deps struct {
	Config  config.Source
	Members membership.Source
	Targets measure.Source
	Network peer.Network
	VM      settings.VM
	Clock   kernel.Clock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}
