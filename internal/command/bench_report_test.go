package command

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestBenchReportRejectsInvalidArguments(t *testing.T) {
	out := filepath.Join(t.TempDir(), "report")
	for _, args := range [][]string{{"--scenario", "unknown"}, {"--deployment", "unknown"}, {"--policy", "unknown"}, {"--beside", out}} {
		args = append([]string{"masticturn", "bench", "report", "--out", out}, args...)
		if code := Run(t.Context(), args, io.Discard, io.Discard); code != ExitUsage {
			t.Errorf("%v: exit code %d, want %d", args, code, ExitUsage)
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("the output directory exists after invalid arguments")
	}
}

func TestBenchReportListsSkippedScenarios(t *testing.T) {
	out := t.TempDir()
	args := []string{"masticturn", "bench", "report", "--out", out, "--scenario", "steady", "--timeout", "1ns"}
	if code := Run(t.Context(), args, io.Discard, io.Discard); code != ExitFailed {
		t.Errorf("exit code %d, want %d", code, ExitFailed)
	}
	page, err := os.ReadFile(filepath.Join(out, pageFile))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "estiba, steady: not run") {
		t.Error("the page does not name the scenario that did not run")
	}
}
