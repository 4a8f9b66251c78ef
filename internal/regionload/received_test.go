package regionload

import (
	"math"
	"testing"
	"time"

	"masticturn/internal/overload"
	"masticturn/internal/peer"
)

// anywhere accepts every VM in every region.
func anywhere(string, string) bool { return true }

// messageOf returns the message of a region with one service.
func messageOf(region string, sentAt time.Duration, demand uint32) *message {
	return &message{Region: region, SentMS: uint64(sentAt.Milliseconds()), Services: map[string]wireLoad{
		"svc": {Capacity: 10_000, Busy: 2000, Demand: map[int]uint32{0: demand}},
	}}
}

// Guards against loads that count after their time, in particular those that have waited on their way.
func TestOldLoadsAreUnknown(t *testing.T) {
	const trip = 55 * time.Millisecond
	for _, tt := range []struct {
		name    string
		wait    time.Duration // of the message on its way, beyond the trip
		elapsed time.Duration // since its receipt
		known   bool
	}{
		{"fresh", 0, 0, true},
		{"nearly too old", 0, loadTTL, true},
		{"too old", 0, loadTTL + 10*time.Millisecond, false},
		{"waited on its way", time.Second, 400 * time.Millisecond, true},
		{"waited on its way and too old", time.Second, 600 * time.Millisecond, false},
		{"waited for long", 10 * time.Second, 0, false},
	} {
		h := newReceivedLoads()
		// The sender's clock is an hour behind.
		h.record("x", messageOf("b", 0, 1000), time.Hour+trip)
		received := time.Hour + 20*time.Second + trip
		h.record("x", messageOf("b", 20*time.Second-tt.wait, 3000), received)
		load, known := h.others("svc", anywhere, received+tt.elapsed)["b"]
		if known != tt.known || known && load.Demand[0] != 3 {
			t.Errorf("%s: load %+v, known %v, want %v", tt.name, load, known, tt.known)
		}
	}
}

// Guards against clocks of two machines that run apart, which must not make all loads appear old.
func TestDriftOfClocks(t *testing.T) {
	h := newReceivedLoads()
	for i := range 100_000 {
		sent := time.Duration(i) * 250 * time.Millisecond
		now := sent + time.Duration(float64(sent)*0.0005)
		h.record("x", messageOf("b", sent, 1000), now)
		if len(h.others("svc", anywhere, now+loadTTL-10*time.Millisecond)) != 1 {
			t.Fatalf("the load is unknown after %v", now)
		}
	}
}

// Guards against a message that replaces a later one, and against ignoring a sender whose machine has started
// anew.
func TestOrderOfMessages(t *testing.T) {
	h := newReceivedLoads()
	now := 2 * time.Hour
	h.record("x", messageOf("b", time.Hour, 5000), now)
	for _, tt := range []struct {
		sent time.Duration
		want float64
	}{{time.Hour - 250*time.Millisecond, 5}, {time.Hour, 5}, {time.Hour + 250*time.Millisecond, 6}, {time.Second, 6}, {2 * time.Second, 6}} {
		now += 10 * time.Millisecond
		h.record("x", messageOf("b", tt.sent, 6000), now)
		if got := h.others("svc", anywhere, now)["b"].Demand[0]; got != tt.want {
			t.Errorf("sent at %v: demand %v, want %v", tt.sent, got, tt.want)
		}
	}
}

// Guards against two roots of a region of which the one that misses most of the demand counts.
func TestTwoRootsOfARegion(t *testing.T) {
	h := newReceivedLoads()
	h.record("x", messageOf("b", time.Second, 2000), time.Second)
	h.record("y", messageOf("b", time.Second, 7000), time.Second)
	h.record("z", messageOf("c", time.Second, 1000), time.Second)
	got := h.others("svc", anywhere, time.Second)
	if len(got) != 2 || got["b"].Demand[0] != 7 || got["c"].Demand[0] != 1 {
		t.Errorf("loads %+v, want a demand of 7 in b and 1 in c", got)
	}
	for now := time.Second; now < 4*time.Second; now += SendInterval { // y is lost
		h.record("x", messageOf("b", now, 2000), now)
		got = h.others("svc", anywhere, now)
	}
	if got["b"].Demand[0] != 2 {
		t.Errorf("demand %v in b after the loss of y, want 2", got["b"].Demand[0])
	}
}

// Guards against values out of range, in either direction.
func TestValuesOutOfRange(t *testing.T) {
	w := toWire(overload.RegionLoad{Capacity: math.Inf(1), Busy: math.NaN(), Demand: map[int]float64{0: -5, 1: 1e12}})
	if w.Capacity != maxSlots*milliSlots || w.Busy != 0 || w.Demand[0] != 0 || w.Demand[1] != maxSlots*milliSlots {
		t.Errorf("sent as %+v", w)
	}
	l := wireLoad{Capacity: math.MaxUint32, Demand: map[int]uint32{-1: 5, 0: math.MaxUint32, maxPriorities: 5}}.load()
	if l.Capacity != maxSlots || len(l.Demand) != 1 || l.Demand[0] != maxSlots {
		t.Errorf("read as %+v", l)
	}
	m := message{Services: make(map[string]wireLoad)}
	for i := range 3 * maxServices {
		m.Services[string(rune('a'+i))] = wireLoad{}
	}
	h := newReceivedLoads()
	h.record("x", &m, 0)
	if n := len(h.bySender["x"].loads); n > maxServices {
		t.Errorf("%d services are kept", n)
	}
}

// FuzzMessage guards against payloads that make a VM fail, or use values out of range.
func FuzzMessage(f *testing.F) {
	payload, err := peer.Encode(messageOf("b", time.Second, 5))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		var m message
		if peer.Decode(payload, &m) != nil {
			return
		}
		h := newReceivedLoads()
		h.record("x", &m, time.Second)
		for service := range m.Services {
			for _, l := range h.others(service, anywhere, time.Second) {
				if !(l.Capacity >= 0 && l.Capacity <= maxSlots && l.Busy >= 0 && l.Busy <= maxSlots) {
					t.Errorf("load %+v", l)
				}
			}
		}
	})
}
