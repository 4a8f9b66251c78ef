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

// ready returns nil when callers may be sent here, else why not.
func (w *wiring) ready() error {
	if !w.members.Ready() {
		return trace.ConnectionProblem(nil, "this daemon has not joined the others yet")
	}
	return w.config.Ready()
}

// mounts lists what is served on the operators' listener behind the token.
func (d *Daemon) mounts(w *wiring, checkToken func(string) bool) []operator.Mount {
	documents := configapi.New(w.config, w.members)
	health, _ := w.store.(statusapi.StoreHealth) // a store given by a test has none
	status := statusapi.New(statusapi.Deps{
		VM:       d.settings.VM,
		Clock:    d.opts.Clock,
		Config:   w.config,
		Members:  w.members,
		Targets:  w.targets,
		Store:    health,
		Ready:    w.ready,
		InFlight: w.callers.InFlight,
		Draining: d.draining,
		Drain:    d.RequestDrain,
	})
	forms := console.New(console.Deps{
		Documents:  w.config,
		History:    console.StoredHistory{Repository: w.config.Repository()},
		CheckToken: checkToken,
		InForce:    documents.InForce,
		Status:     status.Status,
		Policies:   policyNames(),
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
	})
	api, state := documents.Handler(), status.Handler()
	return []operator.Mount{
		{Pattern: edge.PathConsole, Handler: forms.Handler(), OwnLogin: true},
		{Pattern: edge.PathOperatorConfig, Handler: api},
		{Pattern: edge.PathOperatorConfig + "/", Handler: api},
		{Pattern: edge.PathOperatorStatus, Handler: state},
		{Pattern: edge.PathOperatorDrain, Handler: state},
	}
}

// policyNames lists the policies of target choice.
func policyNames() []string {
	var names []string
	for _, p := range steering.Policies() {
		names = append(names, string(p))
	}
	return names
}
