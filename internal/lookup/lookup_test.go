package lookup

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/membership"
)

type fakeConfig struct{ snap *config.Snapshot }

func (f *fakeConfig) Current() *config.Snapshot               { return f.snap }
func (f *fakeConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }

type fakeMembers struct{ view *membership.View }

func (f *fakeMembers) View() *membership.View                  { return f.view }
func (f *fakeMembers) Subscribe(func(*membership.View)) func() { return func() {} }

func testSnapshot(t *testing.T) *config.Snapshot {
	t.Helper()
	snap, err := config.NewSnapshot(7, &config.Document{
		Regions: []config.Region{
			{Name: "rosario", Zones: []string{"ros-a", "ros-b"}},
			{Name: "bahia", Zones: []string{"bb-a"}},
			{Name: "ba", Zones: []string{"ba-a"}},
		},
		Links: []config.Link{
			{From: "rosario", To: "bahia", OneWayMS: 55},
			{From: "rosario", To: "ba", OneWayMS: 20},
		},
		ClientBlocks: []config.ClientBlock{
			{CIDR: "127.101.0.0/16", Region: "rosario", Zone: "ros-a"},
			{CIDR: "127.101.9.0/24", Region: "bahia"},
		},
		Lookup: config.Lookup{Answers: 3, MaxAgeMS: 5000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func testView() *membership.View {
	view := &membership.View{Version: 1}
	zones := []struct{ region, zone string }{
		{"rosario", "ros-a"}, {"rosario", "ros-b"}, {"rosario", "ros-b"}, {"bahia", "bb-a"}, {"ba", "ba-a"},
	}
	for i, z := range zones {
		view.Members = append(view.Members, membership.Member{
			Name: fmt.Sprintf("vm-%d", i), Zone: z.zone, Region: z.region,
			CallerAddress: fmt.Sprintf("127.0.0.%d:80", i+1), Generation: 7, Incarnation: 1,
		})
	}
	return view
}

func TestLocateTakesTheLongestPrefix(t *testing.T) {
	defaultPlace := Place{Region: "ba"}
	table := NewTable(testSnapshot(t).Document.ClientBlocks, defaultPlace)
	tests := []struct {
		addr string
		want Place
	}{
		{"127.101.1.1", Place{"rosario", "ros-a"}},
		{"127.101.9.1", Place{"bahia", ""}},
		{"::ffff:127.101.1.1", Place{"rosario", "ros-a"}},
		{"10.0.0.1", defaultPlace},
	}
	for _, tt := range tests {
		if got := table.Locate(netip.MustParseAddr(tt.addr)); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.addr, got, tt.want)
		}
	}
}

func TestCandidatesOrder(t *testing.T) {
	snap, view := testSnapshot(t), testView()
	got := NewRoster(view).Candidates(snap, Place{"rosario", "ros-a"}, 0, 5)
	for i, m := range got {
		if wantHome := i < 3; (m.Region == "rosario") != wantHome {
			t.Errorf("candidate %d is %s of %s", i, m.Name, m.Region)
		}
	}
	if got[3].Region != "ba" {
		t.Errorf("the nearest other region is ba, got %s", got[3].Region)
	}
}

// A caller that loses its region must know a VM of another one, even if VMs of
// its own region could fill the answer.
func TestLastAnswerIsOfAnotherRegion(t *testing.T) {
	snap, view := testSnapshot(t), testView()
	for limit, want := range map[int][]string{
		1: {"rosario"},
		2: {"rosario", "ba"},
		3: {"rosario", "rosario", "ba"},
		5: {"rosario", "rosario", "rosario", "ba", "bahia"},
	} {
		var got []string
		for _, m := range NewRoster(view).Candidates(snap, Place{"rosario", "ros-a"}, 0, limit) {
			got = append(got, m.Region)
		}
		if !slices.Equal(got, want) {
			t.Errorf("limit %d: regions %v, want %v", limit, got, want)
		}
	}
}

// In every bucket, an answer of three VMs has one of another zone and one of
// another region, and an answer of all VMs names none twice.
func TestSecondAnswerIsOfAnotherZone(t *testing.T) {
	snap, roster := testSnapshot(t), NewRoster(testView())
	for bucket := range Buckets {
		got := roster.Candidates(snap, Place{"rosario", "ros-b"}, bucket, 3)
		if got[0].Region != "rosario" || got[1].Region != "rosario" || got[1].Zone == got[0].Zone || got[2].Region == "rosario" {
			t.Errorf("bucket %d: %v", bucket, got)
		}
		all := roster.Candidates(snap, Place{"rosario", "ros-b"}, bucket, 5)
		names := make(map[string]bool)
		for _, m := range all {
			names[m.Name] = true
		}
		if len(names) != 5 {
			t.Errorf("bucket %d names %d of 5 VMs", bucket, len(names))
		}
	}
}

func TestCandidatesExcludeUnusableVMs(t *testing.T) {
	tests := []struct {
		name   string
		change func(*membership.Member)
	}{
		{"leaving", func(m *membership.Member) { m.State = membership.Leaving }},
		{"suspect", func(m *membership.Member) { m.State = membership.Suspect }},
		{"without a document", func(m *membership.Member) { m.Generation = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := testView()
			tt.change(&view.Members[0])
			for bucket := range Buckets {
				for _, m := range NewRoster(view).Candidates(testSnapshot(t), Place{"rosario", "ros-a"}, bucket, 5) {
					if m.Name == "vm-0" {
						t.Fatal("the answer names the VM")
					}
				}
			}
		})
	}
}

func TestLossOfOneVMSpreadsItsCallers(t *testing.T) {
	snap, view := testSnapshot(t), testView()
	successors := map[string]int{}
	for bucket := range Buckets {
		before := NewRoster(view).Candidates(snap, Place{Region: "rosario"}, bucket, 1)[0]
		if before.Name != "vm-1" {
			continue
		}
		lost := testView()
		lost.Members[1].State = membership.Leaving
		successors[NewRoster(lost).Candidates(snap, Place{Region: "rosario"}, bucket, 1)[0].Name]++
	}
	if successors["vm-0"] == 0 || successors["vm-2"] == 0 {
		t.Errorf("all callers moved to one VM: %v", successors)
	}
}

func TestLookupAnswersAndFollowsTheView(t *testing.T) {
	members := &fakeMembers{view: testView()}
	s := NewService(Deps{Config: &fakeConfig{testSnapshot(t)}, Members: members, Metrics: metrics.NewSet()})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	first := lookUp(t, s)
	if len(first.VMs) != 3 || first.MaxAgeSeconds != 5 || first.Generation != 7 {
		t.Fatalf("got %+v", first)
	}
	changed := testView()
	changed.Version = 2
	for i := range changed.Members {
		if changed.Members[i].Name == first.VMs[0].Name {
			changed.Members[i].State = membership.Leaving
		}
	}
	members.view = changed
	s.refresh()
	if second := lookUp(t, s); second.VMs[0].Name == first.VMs[0].Name {
		t.Errorf("%s is leaving, but the answer names it first", first.VMs[0].Name)
	}
}

func TestLookupWithoutDocumentSetsRetryAfter(t *testing.T) {
	s := NewService(Deps{Config: &fakeConfig{}, Members: &fakeMembers{view: testView()}, Metrics: metrics.NewSet()})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, edge.PathLookup, nil))
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", rec.Code, rec.Header().Get("Retry-After"))
	}
}

func lookUp(t *testing.T, s *Service) edge.LookupResponse {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, edge.PathLookup, nil)
	r.RemoteAddr = "127.101.1.1:1234"
	rec := httptest.NewRecorder()
	s.ServeHTTP(rec, r)
	var answer edge.LookupResponse
	if err := json.Unmarshal(rec.Body.Bytes(), &answer); err != nil {
		t.Fatalf("%v in %q", err, rec.Body.String())
	}
	return answer
}

func BenchmarkLookup(b *testing.B) {
	snap, _ := config.NewSnapshot(7, &config.Document{Lookup: config.Lookup{Answers: 3, MaxAgeMS: 5000}})
	s := NewService(Deps{Config: &fakeConfig{snap}, Members: &fakeMembers{view: testView()}, Metrics: metrics.NewSet()})
	_ = s.Start(b.Context())
	addr := netip.MustParseAddr("127.101.1.1")
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.answer(addr); err != nil {
			b.Fatal(err)
		}
	}
}
