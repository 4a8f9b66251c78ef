package admission

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
)

// BenchmarkBroker is one ask and one release at a broker, messages included,
// with four fifths of the slots in use.
func BenchmarkBroker(b *testing.B) {
	for _, n := range []int{14, 100, 430, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) { benchmarkBroker(b, n) })
	}
}

func benchmarkBroker(b *testing.B, targets int) {
	doc := testDocument("broker", 1)
	svc := &doc.Services[0]
	svc.Targets = nil
	for i := range targets {
		svc.Targets = append(svc.Targets, config.Target{Name: fmt.Sprint(i), Zone: "east-1", Slots: 4})
	}
	now := time.Unix(1000, 0)
	self := process{"a", 1}
	view := &membership.View{Members: []membership.Member{{Name: "a", Region: "east", Incarnation: 1}}}
	br := newBroker(brokerParams{
		scope: scope{"plan", "east"}, id: brokerID{self, 1}, snapshot: mustSnapshot(1, doc),
		members: view, targets: &measure.View{}, now: now,
	})
	br.inventory(&inventory{Scope: br.scope, From: self, Seq: 1, Broker: br.id}, now)
	seq := uint64(0)
	ask := func() {
		seq++
		br.ask(&ask{Scope: br.scope, From: self, Seq: seq, Class: "read", CallerRegion: "east", Left: time.Hour}, now)
		br.takeOut()
	}
	for range targets * 4 * 4 / 5 {
		ask()
	}
	if br.core.pool.InFlight() == 0 {
		b.Fatal("nothing was given")
	}
	b.ReportAllocs()
	b.ResetTimer()
	done := uint64(0)
	for range b.N {
		now = now.Add(time.Microsecond)
		done++
		br.release(&release{Scope: br.scope, From: self, Seq: done, Result: toWire(answered)}, now)
		ask()
	}
}
