package kernel

import (
	"context"
	"strings"
	"testing"
)

type fakeService struct {
	log      *[]string
	name     string
	startCtx context.Context
}

func (f *fakeService) record(step string) error {
	*f.log = append(*f.log, step+" "+f.name)
	return nil
}

func (f *fakeService) Provision(*Kernel) error { return f.record("provision") }
func (f *fakeService) Start(ctx context.Context) error {
	f.startCtx = ctx
	return f.record("start")
}

func (f *fakeService) Drain(context.Context) error { return f.record("drain") }
func (f *fakeService) Stop(context.Context) error  { return f.record("stop") }

func TestLifecycleFollowsDependencies(t *testing.T) {
	var log []string
	k := New(SystemClock{})
	register(t, k, &log, "a", "b")
	register(t, k, &log, "b")
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := k.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(log, ", ")
	want := "provision b, provision a, start b, start a, drain a, drain b, stop a, stop b"
	if got != want {
		t.Errorf("lifecycle:\n got %s\nwant %s", got, want)
	}
}

func TestServicesOutliveStartContext(t *testing.T) {
	var log []string
	k := New(SystemClock{})
	register(t, k, &log, "a")
	ctx, cancel := context.WithCancel(t.Context())
	if err := k.Start(ctx); err != nil {
		t.Fatal(err)
	}
	cancel()
	a, err := Lookup[*fakeService](k, "a")
	if err != nil {
		t.Fatal(err)
	}
	if a.startCtx.Err() != nil {
		t.Error("canceling the context of Start stopped a running service")
	}
	if err := k.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	if a.startCtx.Err() == nil {
		t.Error("Stop did not cancel the service's context")
	}
}

func TestDependencyErrorsNameBothServices(t *testing.T) {
	tests := []struct {
		name     string
		requires map[string][]string
		words    []string
	}{
		{"missing", map[string][]string{"forward": {"peer"}}, []string{"forward", "peer", "not registered"}},
		{"circular", map[string][]string{"a": {"b"}, "b": {"a"}}, []string{"circular", "a -> b -> a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log []string
			k := New(SystemClock{})
			for name, requires := range tt.requires {
				register(t, k, &log, name, requires...)
			}
			err := k.Start(t.Context())
			if err == nil {
				t.Fatal("no error")
			}
			for _, w := range tt.words {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
			if len(log) != 0 {
				t.Errorf("services were called: %v", log)
			}
		})
	}
}

func TestLookupChecksNameAndType(t *testing.T) {
	var log []string
	k := New(SystemClock{})
	register(t, k, &log, "a")
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := Lookup[*fakeService](k, "a"); err != nil {
		t.Error(err)
	}
	if _, err := Lookup[*fakeService](k, "b"); err == nil {
		t.Error("Lookup found an unknown name")
	}
	if _, err := Lookup[Clock](k, "a"); err == nil {
		t.Error("Lookup returned a service of another type")
	}
}

func register(t *testing.T, k *Kernel, log *[]string, name string, requires ...string) {
	t.Helper()
	m := Module{Name: name, Requires: requires, New: func(*Kernel) (Service, error) {
		return &fakeService{name: name, log: log}, nil
	}}
	if err := k.Register(m); err != nil {
		t.Fatal(err)
	}
	if err := k.Register(m); err == nil {
		t.Error("Register accepted a duplicate name")
	}
}
