package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/telemetry"
)

func member(name, region string, state membership.State, gen uint64) membership.Member {
	return membership.Member{Name: name, Region: region, CallerAddress: name + ":80", State: state, Generation: gen}
}

func TestChoose(t *testing.T) {
	all := []membership.Member{
		member("a1", "a", membership.Alive, 1),
		member("a2", "a", membership.Alive, 1),
		member("a3", "a", membership.Suspect, 1),
		member("a4", "a", membership.Leaving, 1),
		member("a5", "a", membership.Alive, 0), // no document yet
		member("b1", "b", membership.Alive, 1),
		member("c1", "c", membership.Leaving, 1),
	}
	tests := map[string]struct {
		region string
		want   []string
	}{
		"VMs of the region":         {"a", []string{"a1:80", "a2:80"}},
		"another region":            {"b", []string{"b1:80"}},
		"a region without live VMs": {"c", []string{"a1:80", "a2:80", "b1:80"}},
		"an unknown region":         {"nowhere", []string{"a1:80", "a2:80", "b1:80"}},
	}
	for name, tt := range tests {
		if got := Choose(&membership.View{Members: all}, tt.region); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// VMs that refuse keys must be returned only if no live VM serves them.
func TestChooseAvoidsVMsThatRefuseKeys(t *testing.T) {
	refusing := func(m membership.Member) membership.Member {
		m.RefusesKeys = true
		return m
	}
	a1, a2 := member("a1", "a", membership.Alive, 1), member("a2", "a", membership.Alive, 1)
	b1 := member("b1", "b", membership.Alive, 1)
	tests := map[string]struct {
		members []membership.Member
		want    []string
	}{
		"one VM refuses":     {[]membership.Member{refusing(a1), a2, b1}, []string{"a2:80"}},
		"the region refuses": {[]membership.Member{refusing(a1), refusing(a2), b1}, []string{"b1:80"}},
		"all VMs refuse":     {[]membership.Member{refusing(a1), refusing(a2), refusing(b1)}, []string{"a1:80", "a2:80"}},
	}
	for name, tt := range tests {
		if got := Choose(&membership.View{Members: tt.members}, "a"); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}

// In a region with more VMs than fit into a response, all must be returned about equally often.
func TestChooseCoversAllVMsOfLargeRegions(t *testing.T) {
	const size, lookups = 155, 2000
	view := &membership.View{}
	for i := range size {
		view.Members = append(view.Members, member(fmt.Sprintf("a%03d", i), "a", membership.Alive, 1))
	}
	counts := make(map[string]int)
	for range lookups {
		answer := Choose(view, "a")
		if len(answer) != maxAddresses {
			t.Fatalf("got %d addresses, want %d", len(answer), maxAddresses)
		}
		for _, address := range answer {
			counts[address]++
		}
	}
	expected := lookups * maxAddresses / size
	for _, m := range view.Members {
		if n := counts[m.CallerAddress]; n < expected/2 || n > 2*expected {
			t.Errorf("%s was returned %d times, expected about %d", m.Name, n, expected)
		}
	}
}

type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View                  { return f.view }
func (f fixedMembers) Subscribe(func(*membership.View)) func() { return func() {} }

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

func TestReadinessAndLookups(t *testing.T) {
	serving := false
	ready, lookup := listen(t), listen(t)
	s := NewService(Deps{
		Names: Names{
			ReadyPath: "/r", LookupPath: "/l", RegionQuery: "in", ZoneQuery: "near",
			ResponseBody: func(addresses []string, maxAge time.Duration) any {
				return map[string]any{"to": addresses, "for": maxAge.Seconds()}
			},
		},
		ReadyListener: ready, LookupListener: lookup,
		Members:      fixedMembers{&membership.View{Members: []membership.Member{member("a1", "a", membership.Alive, 1)}}},
		RegionByZone: map[string]string{"a-1": "a"},
		Serving:      func() (bool, string) { return serving, "not yet" },
		MaxAge:       2 * time.Second,
		Logger:       telemetry.Discard(),
	})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	readyURL, lookupURL := "http://"+ready.Addr().String()+"/r", "http://"+lookup.Addr().String()+"/l"
	if status, body := get(t, readyURL); status != http.StatusServiceUnavailable || body != "not yet\n" {
		t.Errorf("readiness before serving: %d %q", status, body)
	}
	serving = true
	if status, _ := get(t, readyURL); status != http.StatusOK {
		t.Errorf("readiness while serving: %d", status)
	}
	status, body := get(t, lookupURL+"?near=a-1")
	var answer struct {
		To  []string
		For float64
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil || status != http.StatusOK || len(answer.To) != 1 || answer.For != 2 {
		t.Errorf("look-up: %d %s", status, body)
	}
	s.Leave()
	if status, _ = get(t, readyURL); status != http.StatusServiceUnavailable {
		t.Errorf("readiness while leaving: %d", status)
	}
	if status, _ = get(t, lookupURL+"?in=a"); status != http.StatusOK {
		t.Error("a leaving VM does not serve look-ups")
	}
}

// Partitioned VMs must be returned only if they are the majority of their region's.
func TestChooseAvoidsPartitionedVMs(t *testing.T) {
	partitioned := func(m membership.Member) membership.Member {
		m.Partitioned = true
		return m
	}
	a1, a2, a3 := member("a1", "a", membership.Alive, 1), member("a2", "a", membership.Alive, 1), member("a3", "a", membership.Alive, 1)
	b1 := member("b1", "b", membership.Alive, 1)
	tests := map[string]struct {
		members []membership.Member
		want    []string
	}{
		"one of three":     {[]membership.Member{partitioned(a1), a2, a3, b1}, []string{"a2:80", "a3:80"}},
		"one of two":       {[]membership.Member{partitioned(a1), a2, b1}, []string{"a2:80"}},
		"two of three":     {[]membership.Member{partitioned(a1), partitioned(a2), a3, b1}, []string{"a3:80", "a1:80", "a2:80"}},
		"the whole region": {[]membership.Member{partitioned(a1), partitioned(a2), b1}, []string{"a1:80", "a2:80"}},
		"all VMs":          {[]membership.Member{partitioned(a1), partitioned(b1)}, []string{"a1:80"}},
	}
	for name, tt := range tests {
		if got := Choose(&membership.View{Members: tt.members}, "a"); !slices.Equal(got, tt.want) {
			t.Errorf("%s: got %v, want %v", name, got, tt.want)
		}
	}
}
