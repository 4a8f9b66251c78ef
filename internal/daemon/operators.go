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
	"masticturn/internal/operator/statusapi"
	"masticturn/internal/platform"
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
	return operator.NewServer(operator.Deps{
		Listener:  d.listeners.operators,
		TokenFile: d.settings.Operator.TokenFile,
		Ready:     o.ready,
		Mounts:    d.mounts(&o),
		Metrics:   d.opts.Metrics,
		Logger:    d.opts.Logger,
	}), nil
}

// ready returns nil when callers may be sent here, else why not.
func (o *operated) ready() error {
	if !o.members.Ready() {
		return trace.ConnectionProblem(nil, "this daemon has not joined the others yet")
	}
	return o.sync.Ready()
}

// mounts lists what is served on the operators' listener behind the token.
func (d *Daemon) mounts(o *operated) []operator.Mount {
	documents := configapi.New(o.sync, o.members).Handler()
	health, _ := o.store.(statusapi.StoreHealth) // a store given by a test has none
	state := statusapi.New(statusapi.Deps{
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
	}).Handler()
	return []operator.Mount{
		{Pattern: edge.PathOperatorConfig, Handler: documents},
		{Pattern: edge.PathOperatorConfig + "/", Handler: documents},
		{Pattern: edge.PathOperatorStatus, Handler: state},
		{Pattern: edge.PathOperatorDrain, Handler: state},
	}
}
