package customer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/telemetry"
)

func TestDirectory(t *testing.T) {
	d := NewDirectory([]Customer{
		{Name: "a", Keys: []KeyDigest{DigestOf("k1"), DigestOf("k2")}},
		{Name: "b", Keys: []KeyDigest{DigestOf("k3")}, Limit: Limit{PerSecond: 4}},
	})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "": "", "K1": ""} {
		got := ""
		if c := d.ByKey(key); c != nil {
			got = c.Name
		}
		if got != want {
			t.Errorf("key %q belongs to %q, want %q", key, got, want)
		}
	}
	if d.ByName("b") == nil || d.ByName("c") != nil || !d.KeysRequired() || !d.Limited() {
		t.Error("look-ups by name or the flags of the directory are wrong")
	}
	var nilDirectory *Directory
	if nilDirectory.KeysRequired() || nilDirectory.Limited() || nilDirectory.ByName("a") != nil || len(nilDirectory.All()) > 0 {
		t.Error("a nil directory has customers")
	}
}

func TestDigestsAreNeverPrinted(t *testing.T) {
	c := Customer{Name: "a", Keys: []KeyDigest{DigestOf("secret-key")}}
	raw, err := json.Marshal(struct {
		C Customer
		K KeyDigest
	}{c, c.Keys[0]})
	if err != nil {
		t.Fatal(err)
	}
	hex := fmt.Sprintf("%x", c.Keys[0][:])
	for _, text := range []string{string(raw), fmt.Sprint(c), fmt.Sprintf("%+v", c), fmt.Sprintf("%#v", c), c.Keys[0].String()} {
		if strings.Contains(text, hex) || strings.Contains(text, "secret-key") {
			t.Errorf("%s contains a key or its digest", text)
		}
	}
}

func TestCheckReportsAllInvalidFields(t *testing.T) {
	tests := map[string]struct {
		customers []Customer
		fields    []string
	}{
		"valid":             {[]Customer{{Name: "a", Keys: []KeyDigest{DigestOf("1"), DigestOf("1")}}, {Name: "b"}}, nil},
		"shared key":        {[]Customer{{Name: "a", Keys: []KeyDigest{DigestOf("1")}}, {Name: "b", Keys: []KeyDigest{DigestOf("1")}}}, []string{"1.keys"}},
		"empty key":         {[]Customer{{Name: "a", Keys: []KeyDigest{DigestOf("")}}}, []string{"0.keys"}},
		"empty name":        {[]Customer{{}}, []string{"0.name"}},
		"duplicate name":    {[]Customer{{Name: "a"}, {Name: "a"}}, []string{"1.name"}},
		"name with newline": {[]Customer{{Name: "a\r\nX: y"}}, []string{"0.name"}},
		"negative numbers":  {[]Customer{{Name: "a", Limit: Limit{-1, -1}}}, []string{"0.rate", "0.burst"}},
		"many":              {[]Customer{{}, {Name: "a", Limit: Limit{Burst: -1}}, {Name: "a"}}, []string{"0.name", "1.burst", "2.name"}},
	}
	for name, tt := range tests {
		var fields []string
		for _, f := range Check(tt.customers) {
			fields = append(fields, f.Field)
		}
		if !slices.Equal(fields, tt.fields) {
			t.Errorf("%s: invalid fields %v, want %v", name, fields, tt.fields)
		}
	}
}

func TestCommonRegions(t *testing.T) {
	tests := []struct {
		a, b, want []string
		ok         bool
	}{
		{nil, nil, nil, true},
		{[]string{"r1"}, nil, []string{"r1"}, true},
		{nil, []string{"r1"}, []string{"r1"}, true},
		{[]string{"r1", "r2"}, []string{"r2", "r3"}, []string{"r2"}, true},
		{[]string{"r1"}, []string{"r2"}, nil, false},
	}
	for _, tt := range tests {
		got, ok := CommonRegions(tt.a, tt.b)
		if !slices.Equal(got, tt.want) || ok != tt.ok {
			t.Errorf("CommonRegions(%v, %v) = %v, %t", tt.a, tt.b, got, ok)
		}
	}
}

func TestGuardRefusesKeysWhenDocumentIsTooOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 5 * time.Second
		var age, announcedServing atomic.Int64
		announcedServing.Store(1)
		g := NewGuard(GuardDeps{
			MaxRevocationDelay: bound,
			Age:                func() time.Duration { return time.Duration(age.Load()) },
			HasCustomers:       func() bool { return true },
			Announce: func(serves bool) {
				announcedServing.Store(0)
				if serves {
					announcedServing.Store(1)
				}
			},
			Logger:  telemetry.Discard(),
			Metrics: metrics.NewSet(),
		})
		if err := g.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		for _, step := range []struct {
			age    time.Duration
			serves bool
		}{{0, true}, {bound / 2, true}, {bound, false}, {time.Hour, false}, {time.Second, true}} {
			age.Store(int64(step.age))
			if g.KeysUsable() != step.serves {
				t.Errorf("document age %v: KeysUsable() = %t", step.age, g.KeysUsable())
			}
			time.Sleep(2 * guardInterval)
			if (announcedServing.Load() == 1) != step.serves {
				t.Errorf("document age %v: announced state %d", step.age, announcedServing.Load())
			}
		}
		_ = g.Stop(context.Background())
	})
}

func TestGuardWithoutBound(t *testing.T) {
	g := NewGuard(GuardDeps{Age: func() time.Duration { return time.Hour }})
	if !g.KeysUsable() {
		t.Error("keys are refused although MaxRevocationDelay is 0")
	}
}
