package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// Daemons join through seeds alone while the store rejects calls or does not respond.
func TestJoinWithTheStoreDown(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %v", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hub, store := peertest.NewHub(1), platformtest.NewStore()
				store.SetOutage(true)
				store.SetHook(func(ctx context.Context, _ platformtest.Call) platformtest.Fault {
					if silent {
						<-ctx.Done()
					}
					return platformtest.FaultNone
				})
				var all []*Service
				for i := range 3 {
					all = append(all, startService(t, hub, fmt.Sprintf("vm%d", i), func(c *Config) {
						withSeed("vm0")(c)
						c.Store = store
					}))
				}
				defer stopAll(all...)
				time.Sleep(5 * time.Second)
				for _, s := range all {
					if !s.Ready() || s.View().Count(Alive) != len(all) {
						t.Errorf("ready %v, view %+v", s.Ready(), s.View())
					}
				}
				if store.Calls(platform.OpList) == 0 {
					t.Error("the store was not called")
				}
			})
		})
	}
}
