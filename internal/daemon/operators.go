package daemon

import (
	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/operator"
	"masticturn/internal/operator/configapi"
	"masticturn/internal/operator/console"
	"masticturn/internal/operator/statusapi"
	"masticturn/internal/steering"
)

func (d *Daemon) newOperator(w *wiring) (kernel.Service, error) {
	var server *operator.Server
	server = operator.NewServer(operator.Deps{
		Listener:  d.listeners.operators,
		TokenFile: d.settings.Operator.TokenFile,
		TLS:       d.settings.Operator.TLS,
		Ready:     w.ready,
		Mounts:    d.mounts(w, func(token string) bool { return server.CheckToken(token) }),
		Metrics:   d.opts.Metrics,
		Logger:    d.opts.Logger,
	})
	return server, nil
}

// ready returns nil if callers may be sent to this VM, or else the reason why not.
func (w *wiring) ready() error {
	if !w.members.Ready() {
		return trace.ConnectionProblem(nil, "this daemon has not joined the fleet yet")
	}
	return w.config.Ready()
}

// mounts lists the handlers on the operators' listener that require the token.
func (d *Daemon) mounts(w *wiring, checkToken func(string) bool) []operator.Mount {
	configs := configapi.New(w.config, w.members)
	health, _ := w.store.(statusapi.StoreHealth) // a store provided by a test does not implement it
	status := statusapi.New(statusapi.Deps{
		VM:       d.settings.VM,
		Clock:    d.opts.Clock,
		Config:   w.config,
		Members:  w.members,
		Targets:  w.targets,
		Store:    health,
		Ready:    w.ready,
		InFlight: w.forwarder.InFlight,
		Draining: d.isDraining,
		Drain:    d.RequestDrain,
	})
	pages := console.New(console.Deps{
		Documents:  w.config,
		History:    console.StoredHistory{Repository: w.config.Repository()},
		CheckToken: checkToken,
		InForce:    configs.InForce,
		Status:     status.Status,
		Policies:   policyNames(),
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
	})
	configHandler, statusHandler := configs.Handler(), status.Handler()
	return []operator.Mount{
		{Pattern: edge.PathConsole, Handler: pages.Handler(), OwnLogin: true},
		{Pattern: edge.PathOperatorConfig, Handler: configHandler},
		{Pattern: edge.PathOperatorConfig + "/", Handler: configHandler},
		{Pattern: edge.PathOperatorStatus, Handler: statusHandler},
		{Pattern: edge.PathOperatorDrain, Handler: statusHandler},
	}
}

// policyNames returns the names of the policies for choosing targets.
func policyNames() []string {
	var names []string
	for _, p := range steering.Policies() {
		names = append(names, string(p))
	}
	return names
}
