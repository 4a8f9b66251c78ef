package placement

import (
	"bytes"
	"maps"
	"testing"

	"masticturn/internal/overload"
	"masticturn/internal/peer"
)

// olderUsage is Usage as of the builds without optional fields.
type olderUsage struct {
	Running map[uint32]int      `msgpack:"r"`
	Objects map[uint32][]string `msgpack:"o"`
}

func encodeValue(t *testing.T, v any) []byte {
	t.Helper()
	payload, err := peer.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// Guards against load reports that builds of the fleet that differ can't read from each other.
func TestOlderBuildsReadUsage(t *testing.T) {
	plain := &Usage{Running: map[uint32]int{7: 3}, Objects: map[uint32][]string{7: {"a"}}}
	full := &Usage{
		Running: plain.Running, Objects: plain.Objects,
		Speeds: map[uint32]SpeedSample{7: {Runs: 1, Ratio: 100}},
		Demand: &overload.Demand{Priorities: map[int]uint32{0: 5}},
		Limits: &overload.Limits{Admit: map[int]float64{0: 0.5}},
		Split:  map[string]float64{"ros": 0.5}, Spare: map[string]float64{"bb": 0.25},
	}
	older := olderUsage{Running: plain.Running, Objects: plain.Objects}
	if got, want := encodeValue(t, plain), encodeValue(t, &older); !bytes.Equal(got, want) {
		t.Errorf("usage without optional fields is encoded as %x, by older builds as %x", got, want)
	}
	for name, u := range map[string]*Usage{"without optional fields": plain, "with optional fields": full} {
		var read olderUsage
		if err := peer.Decode(encodeValue(t, u), &read); err != nil {
			t.Errorf("%s: an older build can't read it: %v", name, err)
		}
		if read.Running[7] != 3 || len(read.Objects[7]) != 1 {
			t.Errorf("%s: an older build reads %+v", name, read)
		}
	}
	var fromOlder, again Usage
	if err := peer.Decode(encodeValue(t, &older), &fromOlder); err != nil || fromOlder.Running[7] != 3 || fromOlder.Split != nil {
		t.Errorf("read from an older build: %+v, %v", fromOlder, err)
	}
	if err := peer.Decode(encodeValue(t, full), &again); err != nil {
		t.Fatal(err)
	}
	if again.Demand.Priorities[0] != 5 || again.Limits.Admit[0] != 0.5 || again.Speeds[7].Ratio != 100 ||
		!maps.Equal(again.Split, full.Split) || !maps.Equal(again.Spare, full.Spare) {
		t.Errorf("read again: %+v, want %+v", again, full)
	}
}

// Guards against taking an explicit default for an unknown split.
func TestEmptySplitDiffersFromNone(t *testing.T) {
	var empty, none Usage
	if err := peer.Decode(encodeValue(t, &Usage{Split: map[string]float64{}}), &empty); err != nil {
		t.Fatal(err)
	}
	if err := peer.Decode(encodeValue(t, &Usage{}), &none); err != nil {
		t.Fatal(err)
	}
	if empty.Split == nil || none.Split != nil {
		t.Errorf("read %v and %v, want an empty split and none", empty.Split, none.Split)
	}
}

// Guards against a newer build whose further fields make this build drop a report.
func TestFurtherFieldsAreSkipped(t *testing.T) {
	newer := map[string]any{"r": map[uint32]int{7: 3}, "zz": []int{1, 2}, "o": map[uint32][]string{}}
	var u Usage
	if err := peer.Decode(encodeValue(t, newer), &u); err != nil || u.Running[7] != 3 {
		t.Errorf("read %+v, %v", u, err)
	}
}
