package targetconn

import (
	"context"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
)

// testTunnel is a connection that a VM of a region carries.
type testTunnel struct {
	net.Conn
	region string
	usable bool
}

func (c *testTunnel) Carrier() (vm, region, id string) { return "vm-2", c.region, "vm-1-1" }
func (c *testTunnel) Usable() bool                     { return c.usable }

// testDialer carries all connections through a region, or opens them directly if that is empty.
type testDialer struct {
	region string
	opened []*testTunnel
}

func (d *testDialer) DialTarget(ctx context.Context, t *config.TargetIndex, _ Reach) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	if err != nil || d.region == "" {
		return conn, err
	}
	d.opened = append(d.opened, &testTunnel{conn, d.region, true})
	return d.opened[len(d.opened)-1], nil
}

func TestTunnelsAreReusedWhereTheRequestMayGo(t *testing.T) {
	target := soundTarget(t)
	target.Region = "a"
	homes := Reach{Regions: []string{"c"}}
	tests := map[string]struct {
		carrier string // region; empty: direct
		use     Use
		reach   Reach
		usable  bool
		reused  bool
	}{
		"direct":                              {"", UseAny, homes, true, true},
		"direct, not repeatable":              {"", UseRecent, homes, true, true},
		"through any region":                  {"b", UseAny, Reach{}, true, true},
		"outside the allowed regions":         {"b", UseAny, homes, true, false},
		"in an allowed region":                {"c", UseAny, homes, true, true},
		"in the target's region":              {"a", UseAny, homes, true, true},
		"not repeatable":                      {"a", UseRecent, Reach{}, true, false},
		"the carrier is no longer to be used": {"a", UseAny, Reach{}, false, false},
		"only new connections are to be used": {"a", UseNew, Reach{}, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dialer := &testDialer{region: tt.carrier}
			p := NewPools(Deps{Targets: dialer, Clock: kernel.SystemClock{}, Metrics: metrics.NewSet()})
			defer p.Close()
			c, err := p.Get(t.Context(), target, 4, UseAny, Reach{})
			if err != nil {
				t.Fatal(err)
			}
			if tt.carrier != "" && c.ConnectTime() != 0 {
				t.Error("the time to open a tunnel counts as a round trip to the target")
			}
			if body, err := exchange(t.Context(), c, "GET"); err != nil || body != "ok" {
				t.Fatal(body, err)
			}
			c.Keep()
			waitIdle(t, p, target, 1)
			for _, opened := range dialer.opened {
				opened.usable = tt.usable
			}
			second, err := p.Get(t.Context(), target, 4, tt.use, tt.reach)
			if err != nil {
				t.Fatal(err)
			}
			defer second.Drop()
			if second.reused != tt.reused {
				t.Errorf("reused %v, want %v", second.reused, tt.reused)
			}
		})
	}
}
