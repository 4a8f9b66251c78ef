package bench

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"masticturn/internal/admission"
	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/forward"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/settings"
)

// thinDaemon is the request path without membership, probes or brokers: the
// document and the list of VMs are read once.
type thinDaemon struct {
	forward *forward.Service
	ready   *http.Server
	cancel  context.CancelFunc
}

type fixed struct{ snapshot *config.Snapshot }

func (f fixed) Current() *config.Snapshot                      { return f.snapshot }
func (f fixed) Subscribe(notify func(*config.Snapshot)) func() { notify(f.snapshot); return func() {} }

type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View { return f.view }
func (f fixedMembers) Subscribe(notify func(*membership.View)) func() {
	notify(f.view)
	return func() {}
}

type noMeasures struct{}

func (noMeasures) View() *measure.View                  { return &measure.View{} }
func (noMeasures) Subscribe(func(*measure.View)) func() { return func() {} }
func (noMeasures) Observe(measure.Observation)          {}

func startThin(ctx context.Context, s *settings.Settings, deps cluster.DaemonDeps) (cluster.Daemon, error) {
	store, err := platform.NewClient(platform.ClientOptions{URL: s.Platform.URL, Dial: deps.Dial, Metrics: deps.Metrics})
	if err != nil {
		return nil, err
	}
	repo := repository.New(store, kernel.SystemClock{})
	head, _, err := repo.Head(ctx)
	if err != nil {
		return nil, err
	}
	packed, err := repo.Read(ctx, &head.Current, 0)
	if err != nil {
		return nil, err
	}
	doc, err := packed.Document()
	if err != nil {
		return nil, err
	}
	config.SetDefaults(doc)
	snapshot, err := config.NewSnapshot(head.Current.Generation, doc)
	if err != nil {
		return nil, err
	}
	view, err := readMembers(ctx, store, snapshot, s.VM.Name)
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	d := &thinDaemon{cancel: cancel}
	source, members := fixed{snapshot: snapshot}, fixedMembers{view}
	look := lookup.NewService(lookup.Deps{Config: source, Members: members, Home: lookup.Place{Region: s.VM.Region, Zone: s.VM.Zone}, Metrics: deps.Metrics})
	if err := look.Start(runCtx); err != nil {
		return nil, err
	}
	admit := admission.NewLocal(admission.Deps{
		Config: source, Members: members, Targets: noMeasures{}, VM: s.VM,
		Clock: kernel.SystemClock{}, Logger: deps.Logger, Metrics: deps.Metrics,
	})
	go admit.Run(runCtx)
	handler := forward.NewHandler(forward.Deps{
		Config: source, Admission: admit, Locator: look, Measure: noMeasures{}, Dial: deps.Dial,
		Logger: deps.Logger, Metrics: deps.Metrics, VM: s.VM, Clock: kernel.SystemClock{},
	})
	d.forward = forward.NewService(forward.ServiceDeps{Handler: handler, Lookup: look, Listen: s.Listen.Callers, Config: source, Logger: deps.Logger})
	if err := d.forward.Start(runCtx); err != nil {
		return nil, err
	}
	return d, d.serveReady(s.Listen.Operators)
}

func (d *thinDaemon) serveReady(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.ready = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go d.ready.Serve(listener)
	return nil
}

func readMembers(ctx context.Context, store platform.Store, snapshot *config.Snapshot, self string) (*membership.View, error) {
	objects, _, err := store.List(ctx, platform.KindVM)
	if err != nil {
		return nil, err
	}
	view := &membership.View{Version: 1, Self: self}
	for _, o := range objects {
		var r edge.VMRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return nil, err
		}
		view.Members = append(view.Members, membership.Member{
			Name: r.Name, Zone: r.Zone, Region: snapshot.RegionOfZone(r.Zone), PeerAddress: r.PeerAddress,
			CallerAddress: r.CallerAddress, Incarnation: 1, Generation: uint64(snapshot.Generation), Hash: snapshot.Hash,
		})
	}
	return view, nil
}

func (d *thinDaemon) Drain(ctx context.Context) error {
	err := d.forward.Drain(ctx)
	d.Kill()
	return err
}

func (d *thinDaemon) Kill() {
	d.cancel()
	d.forward.Stop(context.Background())
	d.ready.Close()
}
