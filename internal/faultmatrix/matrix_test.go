package faultmatrix

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"masticturn/internal/admission"
	"masticturn/internal/config/repository"
	"masticturn/internal/confsync"
	"masticturn/internal/drain"
	"masticturn/internal/forward"
	"masticturn/internal/idempotency"
	"masticturn/internal/membership"
	"masticturn/internal/steering"
)

const (
	root = "../.."
	page = root + "/docs/FAULTS.md"
)

// faults are the columns of the page, in order.
var faults = []string{
	"crash", "pause", "lost request", "lost answer", "delay", "duplicate", "stale read",
	"store outage", "silent connection", "lying health", "clock off", "two at once",
}

// machine is one state machine with its steps.
type machine struct {
	name  string
	steps []string
}

// machines lists the state machines by the steps that their packages export.
func machines() []machine {
	return []machine{
		{"apply", names(repository.Steps())},
		{"watch", names(confsync.WatchSteps())},
		{"adopt", names(confsync.FetchSteps())},
		{"membership", names(membership.Steps())},
		{"dispatch", names(forward.Steps())},
		{"claim", names(idempotency.Steps())},
		{"drain", names(drain.Steps())},
		{"broker", names(admission.BrokerSteps())},
		{"slot", names(admission.SlotSteps())},
		{"ask", names(admission.AskSteps())},
		{"grant", names(steering.GranterSteps())},
		{"credit", names(steering.GranteeSteps())},
	}
}

func names[T any](steps []T) []string {
	out := make([]string, len(steps))
	for i, s := range steps {
		out[i] = fmt.Sprint(s)
	}
	return out
}

// table is one machine's table on the page.
type table struct {
	rows  map[string][]string // cells by step
	notes map[string]string   // reasons by number
}

var (
	heading  = regexp.MustCompile(`^## Machine: (.+)$`)
	note     = regexp.MustCompile(`^([a-z][0-9]+): (.+)$`)
	testName = regexp.MustCompile("`([a-z0-9/]+)\\.(Test[A-Za-z0-9_]+)`")
	noteRef  = regexp.MustCompile(`^– ([a-z][0-9]+)$`)
	testFunc = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
)

// readPage returns the tables of the page by machine.
func readPage(t *testing.T) map[string]*table {
	t.Helper()
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	tables := make(map[string]*table)
	var now *table
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if m := heading.FindStringSubmatch(line); m != nil {
			now = &table{rows: make(map[string][]string), notes: make(map[string]string)}
			tables[m[1]] = now
			continue
		}
		if now == nil {
			continue
		}
		if m := note.FindStringSubmatch(line); m != nil {
			now.notes[m[1]] = m[2]
		}
		if strings.HasPrefix(line, "| ") {
			now.addRow(line)
		}
	}
	return tables
}

func (t *table) addRow(line string) {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	t.rows[cells[0]] = cells[1:]
}

// testsOf returns the names of all tests below internal, by package folder.
func testsOf(t *testing.T) map[string]bool {
	t.Helper()
	tests := make(map[string]bool)
	base := filepath.Join(root, "internal")
	err := filepath.WalkDir(base, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		pkg, err := filepath.Rel(base, filepath.Dir(path))
		for _, m := range testFunc.FindAllStringSubmatch(string(raw), -1) {
			tests[filepath.ToSlash(pkg)+"."+m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// TestEveryStepHasItsCells compares the page with the steps in the code.
func TestEveryStepHasItsCells(t *testing.T) {
	tables, tests := readPage(t), testsOf(t)
	for _, m := range machines() {
		tab := tables[m.name]
		if tab == nil {
			t.Errorf("docs/FAULTS.md has no table of machine %q", m.name)
			continue
		}
		if head := tab.rows["step"]; !slices.Equal(head, faults) {
			t.Errorf("machine %s: columns are %v, want %v", m.name, head, faults)
		}
		for _, step := range m.steps {
			checkRow(t, m.name, step, tab, tests)
		}
		if extra := len(tab.rows) - len(m.steps) - 2; extra != 0 { // the head and the rule below it
			t.Errorf("machine %s: %d rows are no step of the code", m.name, extra)
		}
	}
	if len(tables) != len(machines()) {
		t.Errorf("docs/FAULTS.md has %d machines, the code %d", len(tables), len(machines()))
	}
}

func checkRow(t *testing.T, machine, step string, tab *table, tests map[string]bool) {
	t.Helper()
	cells := tab.rows[step]
	if len(cells) != len(faults) {
		t.Errorf("machine %s, step %s: %d cells, want %d", machine, step, len(cells), len(faults))
		return
	}
	for i, cell := range cells {
		if err := checkCell(cell, tab, tests); err != nil {
			t.Errorf("machine %s, step %s, fault %s: %v", machine, step, faults[i], err)
		}
	}
}

// checkCell accepts tests that exist, a note that says why there is none, or
// the word open.
func checkCell(cell string, tab *table, tests map[string]bool) error {
	if cell == "open" {
		return nil
	}
	if m := noteRef.FindStringSubmatch(cell); m != nil {
		if tab.notes[m[1]] == "" {
			return fmt.Errorf("there is no note %s", m[1])
		}
		return nil
	}
	named := testName.FindAllStringSubmatch(cell, -1)
	if len(named) == 0 {
		return fmt.Errorf("cell %q names no test, note, or open", cell)
	}
	for _, n := range named {
		if !tests[n[1]+"."+n[2]] {
			return fmt.Errorf("there is no test %s in internal/%s", n[2], n[1])
		}
	}
	return nil
}

// TestCountsOfCells compares the sentence that counts the cells with the tables.
func TestCountsOfCells(t *testing.T) {
	var named, noted, open int
	for name, tab := range readPage(t) {
		for step, cells := range tab.rows {
			if step == "step" || strings.HasPrefix(step, "--") {
				continue
			}
			if len(cells) != len(faults) {
				t.Errorf("machine %s, step %s: %d cells", name, step, len(cells))
			}
			for _, cell := range cells {
				switch {
				case cell == "open":
					open++
				case noteRef.MatchString(cell):
					noted++
				default:
					named++
				}
			}
		}
	}
	raw, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("Of %d cells, %d name tests, %d have a note, and %d", named+noted+open, named, noted, open)
	if !strings.Contains(string(raw), want) {
		t.Errorf("the page does not say: %s", want)
	}
}

func TestBrokenCellsAreFound(t *testing.T) {
	tab := &table{notes: map[string]string{"n1": "cannot happen"}}
	tests := map[string]bool{"drain.TestX": true}
	for cell, ok := range map[string]bool{
		"`drain.TestX`": true, "– n1": true, "open": true,
		"`drain.TestY`": false, "– n2": false, "": false, "yes": false,
		"`drain.TestX` `drain.TestY`": false,
	} {
		if err := checkCell(cell, tab, tests); (err == nil) != ok {
			t.Errorf("cell %q: %v", cell, err)
		}
	}
}
