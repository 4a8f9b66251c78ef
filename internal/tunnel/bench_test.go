package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// benchMembers is a fixed view of members.
type benchMembers struct{ view *membership.View }

func (m benchMembers) View() *membership.View                  { return m.view }
func (m benchMembers) Subscribe(func(*membership.View)) func() { return func() {} }
func (m benchMembers) SetPartitioned(bool)                     {}

// newBenchVM starts a VM on loopback. Its connects to targets fail if it is partitioned.
func newBenchVM(b *testing.B, name string, snap *config.Snapshot, view *membership.View, partitioned bool) (*Service, *peer.TCP) {
	b.Helper()
	peers, err := peer.NewTCP(peer.Options{VM: name, Incarnation: 1, Listen: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	s := NewService(Deps{
		Self: name, Region: "a", Members: benchMembers{view}, Config: fixedConfig{snap}, Streams: peers, Network: peers,
		Dial: (&net.Dialer{}).DialContext, Clock: kernel.SystemClock{}, Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
	})
	if partitioned {
		s.health.partitioned = true
	}
	if err := peers.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = s.Stop(context.Background())
		_ = peers.Stop(context.Background())
	})
	return s, peers
}

// BenchmarkExchange compares requests on a kept connection to a target, directly and through another VM. Both VMs
// and the target run in this process, so that the difference is the cost at both VMs.
func BenchmarkExchange(b *testing.B) {
	for _, bytes := range []int{100, 10_000, 1_000_000} {
		answer := strings.Repeat("x", bytes)
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) }))
		b.Cleanup(target.Close)
		snap, err := config.NewSnapshot(1, &config.Document{
			Regions:  []config.Region{{Name: "a", Zones: []string{"a1"}}},
			Services: []config.Service{{Name: "s", Targets: []config.Target{{Name: "t", Address: target.Listener.Addr().String(), Zone: "a1"}}}},
		})
		if err != nil {
			b.Fatal(err)
		}
		for _, way := range []string{"direct", "tunnel"} {
			b.Run(fmt.Sprintf("%s/%d", way, bytes), func(b *testing.B) {
				view := &membership.View{Members: []membership.Member{vm("vm-1", "a"), vm("vm-2", "a")}}
				first, peers := newBenchVM(b, "vm-1", snap, view, way == "tunnel")
				_, carrier := newBenchVM(b, "vm-2", snap, view, false)
				peers.SetAddress("vm-2", carrier.Address())
				conn, err := first.DialTarget(b.Context(), snap.Target("t"), targetconn.Reach{})
				if err != nil {
					b.Fatal(err)
				}
				if _, tunneled := conn.(*Conn); tunneled != (way == "tunnel") {
					b.Fatalf("the connection is a %T", conn)
				}
				client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}}
				defer client.CloseIdleConnections()
				for b.Loop() {
					resp, err := client.Get(target.URL)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
		}
	}
}
