package daemon

import (
	"github.com/gravitational/trace"

	"masticturn/internal/confsync"
	"masticturn/internal/edge"
	"masticturn/internal/forward"
	"masticturn/internal/kernel"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/operator"
	"masticturn/internal/operator/configapi"
	"masticturn/internal/operator/console"
	"masticturn/internal/operator/statusapi"
	"masticturn/internal/platform"
	"masticturn/internal/steering"
)

// operated are the services that operators see.
type operated struct {
	store   platform.Store
	members *membership.Service
	sync    *confsync.Service
	targets measure.Source
	callers *forward.Service
}

func (d *Daemon) newOperator(k *kernel.Kernel) (kernel.Service, error) {
	var o operated
	var err error
	need(k, storeName, &o.store, &err)
	need(k, membership.ServiceName, &o.members, &err)
	need(k, confsync.ServiceName, &o.sync, &err)
	need(k, measure.ServiceName, &o.targets, &err)
	need(k, forward.ServiceName, &o.callers, &err)
	if err != nil {
		return nil, err
	}
	var server *operator.Server
	server = operator.NewServer(operator.Deps{
		Listener:  d.listeners.operators,
		TokenFile: d.settings.Operator.TokenFile,
		TLS:       d.settings.Operator.TLS,
		Ready:     o.ready,
		Mounts:    d.mounts(&o, func(token string) bool { return server.CheckToken(token) }),
		Metrics:   d.opts.Metrics,
		Logger:    d.opts.Logger,
	})
	return server, nil
}

// ready returns nil when callers may be sent here, else why not.
func (o *operated) ready() error {
	if !o.members.Ready() {
		return trace.ConnectionProblem(nil, "this daemon has not joined the others yet")
	}
	return o.sync.Ready()
}

// mounts lists what is served on the operators' listener behind the token.
func (d *Daemon) mounts(o *operated, checkToken func(string) bool) []operator.Mount {
	documents := configapi.New(o.sync, o.members)
	health, _ := o.store.(statusapi.StoreHealth) // a store given by a test has none
	status := statusapi.New(statusapi.Deps{
		VM:       d.settings.VM,
		Clock:    d.opts.Clock,
		Config:   o.sync,
		Members:  o.members,
		Targets:  o.targets,
		Store:    health,
		Ready:    o.ready,
		InFlight: o.callers.InFlight,
		Draining: d.draining,
		Drain:    d.RequestDrain,
	})
	forms := console.New(console.Deps{
		Documents:  o.sync,
		History:    console.StoredHistory{Repository: o.sync.Repository()},
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
