package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"masticturn/internal/bench"
	"masticturn/internal/steering"
)

// runOf returns a small run of a policy.
func runOf(name string, began time.Time, policy steering.PolicyName) *Run {
	return &Run{
		Format:  Format,
		Name:    name,
		Began:   began,
		Version: "v1",
		Cores:   4,
		Command: "masticturn bench report --scenario surge",
		Result: &bench.SteeringReport{
			Deployment: "harbour",
			Scenario:   "surge",
			Runs: []bench.SteeringRun{{
				Policy:  policy,
				Classes: []bench.SteeringClass{{Class: "read", Requests: 40, Answered: 30, NotRun: 10, P50MS: 3.25, P99MS: 20, P999MS: 41.5}, {Class: "bulk"}},
				EventMS: 1000,
				Use:     []bench.SteeringUse{{Region: "north", Slots: 4, Points: []bench.SteeringUsePoint{{AtMS: -500, Busy: 4}, {AtMS: 0, Busy: 1}, {AtMS: 500, Busy: 3}}}},
				Shifts: []bench.SteeringShift{
					{From: "north", To: "south", MaxFraction: 0.25, WindowMS: 1000, Windows: []bench.SteeringShiftWindow{{AtMS: 0, Sent: 100, Shifted: 25}, {AtMS: 1000, Sent: 100, Shifted: 26}}},
					{From: "south", To: "north", MaxFraction: 0.25, WindowMS: 1000},
				},
			}},
		},
	}
}

var noon = time.Date(2026, 3, 4, 12, 0, 0, 0, time.UTC)

func written(t *testing.T, r Report) (string, []Plot) {
	t.Helper()
	var page bytes.Buffer
	plots, err := r.Write(&page)
	if err != nil {
		t.Fatal(err)
	}
	return page.String(), plots
}

func wants(t *testing.T, page string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(page, part) {
			t.Errorf("the page lacks %q", part)
		}
	}
}

// texts returns the text elements of a plot, which must be well-formed.
func texts(t *testing.T, svg []byte) string {
	t.Helper()
	var out strings.Builder
	for d := xml.NewDecoder(bytes.NewReader(svg)); ; {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return out.String()
		}
		if err != nil {
			t.Fatalf("plot is not well-formed: %v", err)
		}
		if text, ok := token.(xml.CharData); ok {
			out.Write(text)
		}
	}
}

func TestPageHasFiguresOfRun(t *testing.T) {
	page, plots := written(t, Report{Written: noon, Runs: []*Run{runOf("one", noon, steering.PolicyBroker)}})
	wants(t, page,
		"<td>3.25</td><td>20.00</td><td>41.50</td><td>30</td>", // latency of read
		"<td>4</td><td>50.0</td><td>25.0</td>",                 // headroom of north, without the warm-up
		"<td>25.0</td><td>26.0</td><td>51</td><td>1</td>",      // shifts from north to south
		"<td>40</td><td>10</td><td>25.0</td><td>0</td>",        // shed of read
		"No series shifted any: south to north.",
		"masticturn bench report --scenario surge",
		"2026-03-04 12:00:00",
	)
	if n := strings.Count(page, `<svg role="img" aria-label="`); n != 4 || len(plots) != n {
		t.Errorf("%d plots on the page and %d files, want 4", n, len(plots))
	}
	for _, bad := range []string{"<script", "NaN", "Inf", "<?xml"} {
		if strings.Contains(page, bad) {
			t.Errorf("the page has %q", bad)
		}
	}
	for _, p := range plots {
		texts(t, p.SVG)
	}
}

func TestOldRunsStandBesideNewOnes(t *testing.T) {
	recent, old := runOf("new", noon, steering.PolicyBroker), runOf("old", noon.AddDate(0, -1, 0), steering.PolicyBroker)
	page, plots := written(t, Report{Written: noon, Runs: []*Run{recent, old}})
	labels := []string{"old 2026-02-04 12:00:00, broker", "new 2026-03-04 12:00:00, broker"}
	wants(t, page, labels...)
	if n := strings.Count(page, "<h2"); n != 1 {
		t.Errorf("%d sections for two runs of one scenario", n)
	}
	for _, p := range plots {
		shown := texts(t, p.SVG)
		first, second := strings.Index(shown, labels[0]), strings.Index(shown, labels[1])
		if first < 0 || second < first {
			t.Errorf("%s: labels at %d and %d, want both, the older one first", p.Name, first, second)
		}
	}
}

func TestNamesAreEscaped(t *testing.T) {
	const name = `</style><script>alert("1")</script>&amp;`
	r := runOf(name, noon, steering.PolicyBroker)
	r.Command, r.Version = name, name
	r.Result.Deployment, r.Result.Scenario, r.Result.Service = name, `"><script>../../x`, name
	run := &r.Result.Runs[0]
	run.Policy = name
	run.Classes[0].Class, run.Use[0].Region, run.Shifts[0].From = name, name, name
	page, plots := written(t, Report{Written: noon, Runs: []*Run{r, runOf("b", noon, name)}, Skipped: []Skipped{{name, name, name}}})
	if strings.Contains(page, "<script") || strings.Count(page, "</style>") != 1 {
		t.Error("a name is on the page without escapes")
	}
	wants(t, page, "&lt;script&gt;")
	for _, p := range plots {
		texts(t, p.SVG)
		if strings.ContainsAny(p.Name, `/\"<>`) {
			t.Errorf("file %q", p.Name)
		}
	}
	if file := r.FileName(); strings.ContainsAny(file, `/\"<>`) {
		t.Errorf("file %q", file)
	}
}

func TestBrokenRunsAreMarked(t *testing.T) {
	for policy, want := range map[steering.PolicyName]bool{steering.PolicyBroker: true, steering.PolicyRandom: false} {
		r := runOf("one", noon, policy)
		r.Result.Runs[0].RegionOverloaded = 7
		page, _ := written(t, Report{Written: noon, Runs: []*Run{r}})
		if got := strings.Contains(page, `<tr class="bad">`) && strings.Contains(page, "(broken)"); got != want {
			t.Errorf("policy %s: marked %v, want %v", policy, got, want)
		}
		if strings.Contains(page, "Nothing was broken") {
			t.Errorf("policy %s: the page says that nothing was broken", policy)
		}
	}
}

func TestEmptyRunsAndReports(t *testing.T) {
	r := runOf("one", noon, steering.PolicyBroker)
	r.Result.Runs = []bench.SteeringRun{{Policy: steering.PolicyBroker}}
	written(t, Report{Written: noon, Runs: []*Run{r}})
	page, _ := written(t, Report{Written: noon, Skipped: []Skipped{{"harbour", "surge", "no time"}}})
	wants(t, page, "harbour, surge: no time", "No run has a result.")
}

func TestReadTakesWhatWriteWrote(t *testing.T) {
	var file bytes.Buffer
	if err := runOf("one", noon, steering.PolicyBroker).Write(&file); err != nil {
		t.Fatal(err)
	}
	r, err := Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	if r.Name != "one" || !r.Began.Equal(noon) || r.Result.Runs[0].Classes[0].P50MS != 3.25 {
		t.Errorf("read %+v", r)
	}
	for _, text := range []string{"", "{", `{"format":1}`, `{"format":2,"result":{"runs":[{}]}}`, `{"format":1,"result":{"runs":[]}}`} {
		if _, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("read %q", text)
		}
	}
}
