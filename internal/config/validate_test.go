package config

import (
	"slices"
	"testing"
)

// validDocument returns a small valid document.
func validDocument() *Document {
	return &Document{
		Deployment: "test",
		Regions: []Region{
			{Name: "north", Zones: []string{"n1", "n2"}},
			{Name: "south", Zones: []string{"s1"}},
		},
		Links: []Link{
			{From: "north", To: "south", OneWayMS: 10, RequestsPerSecond: 100, BytesPerSecond: 1000},
			{From: "south", To: "north", OneWayMS: 10, RequestsPerSecond: 100, BytesPerSecond: 1000},
		},
		Classes: []Class{{Name: "read", MaxWaitMS: 100, TimeoutMS: 1000}},
		Tenants: []Tenant{{Name: "t"}},
		Services: []Service{{
			Name: "web", PathPrefix: "/web/",
			Routes: []Route{{Class: "read", Tenant: "t"}},
			Targets: []Target{
				{Name: "a", Address: "127.0.0.1:81", Zone: "n1", Slots: 3, Connections: 30},
				{Name: "b", Address: "127.0.0.1:82", Zone: "s1", Slots: 3, Connections: 30},
			},
		}},
		ShiftCaps: []ShiftCap{
			{From: "north", To: "south", MaxFraction: 0.1},
			{From: "south", To: "north", Service: "web", MaxFraction: 0.2},
		},
		ClientBlocks: []ClientBlock{{CIDR: "192.0.2.0/24", Region: "north", Zone: "n2"}},
	}
}

func TestValidDocumentIsAccepted(t *testing.T) {
	if err := Validate(validDocument()); err != nil {
		t.Error(err)
	}
}

func TestValidateReportsPath(t *testing.T) {
	type doc = Document
	tests := []struct {
		path   string
		mutate func(*doc)
	}{
		{"deployment", func(d *doc) { d.Deployment = "" }},
		{"fleet.max_vms_per_region", func(d *doc) { d.Fleet = Fleet{MaxVMs: 3, MaxVMsPerRegion: 4} }},
		{"regions", func(d *doc) { d.Regions = nil }},
		{"regions[1].name", func(d *doc) { d.Regions[1].Name = "north" }},
		{"regions[1].zones", func(d *doc) { d.Regions[1].Zones = nil }},
		{"regions[1].zones[0]", func(d *doc) { d.Regions[1].Zones[0] = "n1" }},
		{"links[0].to", func(d *doc) { d.Links[0].To = "west" }},
		{"links[1].to", func(d *doc) { d.Links[1].To = "south" }},
		{"links[1]", func(d *doc) { d.Links[1] = d.Links[0] }},
		{"classes", func(d *doc) { d.Classes = nil }},
		{"classes[0].max_wait_ms", func(d *doc) { d.Classes[0].MaxWaitMS = 1000 }},
		{"tenants[0].name", func(d *doc) { d.Tenants[0].Name = "a b" }},
		{"services", func(d *doc) { d.Services = nil }},
		{"services[0].path_prefix", func(d *doc) { d.Services[0].PathPrefix = "web" }},
		{"services[0].targets", func(d *doc) { d.Services[0].Targets = nil }},
		{"services[1].path_prefix", func(d *doc) { d.Services = append(d.Services, d.Services[0]) }},
		{"services[0].routes[0].class", func(d *doc) { d.Services[0].Routes[0].Class = "x" }},
		{"services[0].routes[0].tenant", func(d *doc) { d.Services[0].Routes[0].Tenant = "x" }},
		{"services[0].routes[0].repeat", func(d *doc) { d.Services[0].Routes[0].Repeat = "once" }},
		{"services[0].routes[0].methods[0]", func(d *doc) { d.Services[0].Routes[0].Methods = []string{"get"} }},
		{"services[0].routes[0].timeout_ms", func(d *doc) { d.Services[0].Routes[0].TimeoutMS = 100 }},
		{"services[0].routes[1]", func(d *doc) { d.Services[0].Routes = append(d.Services[0].Routes, Route{Class: "read"}) }},
		{"services[0].targets[1].name", func(d *doc) { d.Services[0].Targets[1].Name = "a" }},
		{"services[0].targets[1].address", func(d *doc) { d.Services[0].Targets[1].Address = "127.0.0.1:81" }},
		{"services[0].targets[0].address", func(d *doc) { d.Services[0].Targets[0].Address = "host:80" }},
		{"services[0].targets[0].zone", func(d *doc) { d.Services[0].Targets[0].Zone = "x" }},
		{"services[0].targets[0].connections", func(d *doc) { d.Services[0].Targets[0].Connections = 2 }},
		{"shift_caps[0].to", func(d *doc) { d.ShiftCaps[0].To = "west" }},
		{"shift_caps[1].service", func(d *doc) { d.ShiftCaps[1].Service = "x" }},
		{"shift_caps[0].max_fraction", func(d *doc) { d.ShiftCaps[0].MaxFraction = 1.5 }},
		{"shift_caps[0].max_fraction", func(d *doc) { d.Links = d.Links[1:] }},
		{"shift_caps[1].max_fraction", func(d *doc) { d.Links[1].RequestsPerSecond = 0 }},
		{"shift_caps[0].to", func(d *doc) { d.Services[0].Targets[1].Zone = "n1" }},
		{"shift_caps[1]", func(d *doc) { d.ShiftCaps[1] = d.ShiftCaps[0] }},
		{"shift_caps", func(d *doc) {
			d.Regions = append(d.Regions, Region{Name: "east", Zones: []string{"e1"}})
			d.Services[0].Targets[0].Zone = "e1"
			d.Links = append(d.Links, Link{From: "north", To: "east", RequestsPerSecond: 1, BytesPerSecond: 1})
			d.ShiftCaps = []ShiftCap{{From: "north", To: "south", MaxFraction: 0.6}, {From: "north", To: "east", MaxFraction: 0.6}}
		}},
		{"client_blocks[0].cidr", func(d *doc) { d.ClientBlocks[0].CIDR = "192.0.2.1/24" }},
		{"client_blocks[0].zone", func(d *doc) { d.ClientBlocks[0].Zone = "s1" }},
		{"client_blocks[1].cidr", func(d *doc) { d.ClientBlocks = append(d.ClientBlocks, d.ClientBlocks[0]) }},
		{"drain.grace_ms", func(d *doc) { d.Drain.GraceMS = 5999 }},
		{"drain.target_quiet_ms", func(d *doc) { d.Drain.TargetQuietMS = 3001 }},
		{"limits.recorded_answer_bytes", func(d *doc) { d.Limits.RecordedAnswersBytes = 1 }},
		{"retry.budget_fraction", func(d *doc) { d.Retry.BudgetFraction = -0.1 }},
		{"steering.probe_ms", func(d *doc) { d.Steering.ProbeMS = 2000 }},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			d := validDocument()
			tt.mutate(d)
			faults := faultsOf(t, Validate(d))
			if !slices.ContainsFunc(faults, func(f Fault) bool { return f.Path == tt.path }) {
				t.Errorf("no fault at %s: %v", tt.path, faults)
			}
		})
	}
}

func TestValidateReportsAllFaultsWithoutModifyingDocument(t *testing.T) {
	d := validDocument()
	d.Links[0].To = "west"
	d.Services[0].Targets[0].Zone = "x"
	d.ClientBlocks[0].CIDR = "nonsense"
	if got := len(faultsOf(t, Validate(d))); got < 3 {
		t.Errorf("%d faults, want at least 3", got)
	}
	if d.Lookup.Answers != 0 {
		t.Error("Validate filled in defaults")
	}
}

func TestNumberOfFaultsIsLimited(t *testing.T) {
	d := validDocument()
	d.ClientBlocks = make([]ClientBlock, 10*maxFaults)
	if got := len(faultsOf(t, Validate(d))); got != maxFaults {
		t.Errorf("%d faults, want %d", got, maxFaults)
	}
}
