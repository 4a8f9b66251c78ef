package e2e

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticturn/internal/command"
)

const goodSettings = `{
  "vm": {"name": "vm-1", "zone": "rosario-a", "region": "rosario"},
  "listen": {"callers": %q, "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
  "platform": {"url": "http://127.0.0.1:1"},
}`

// TestBadInput runs the program with wrong input: a clear message, an exit
// code that is not 0, and no stack trace.
func TestBadInput(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	write := func(name, content string) string {
		file := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	tests := []struct {
		name  string
		args  []string
		code  int
		words []string
	}{
		{"no such settings", []string{"serve", "--settings", "missing.jsonc"}, command.ExitUsage, []string{"missing.jsonc"}},
		{"wrong settings", []string{"serve", "--settings", write("s.jsonc", `{"vm": {"nam": "x"}}`)}, command.ExitUsage, []string{"line 1", "nam", "vm.name"}},
		{"busy port", []string{"serve", "--settings", write("s.jsonc", fmt.Sprintf(goodSettings, busy.Addr()))}, command.ExitFailed, []string{"listen.callers", busy.Addr().String(), "in use"}},
		{"wrong document", []string{"config", "validate", write("d.jsonc", `{"deployment": 7}`)}, command.ExitUsage, []string{"deployment"}},
		{"document with many faults", []string{"config", "validate", write("d.jsonc", `{}`)}, command.ExitUsage, []string{"regions", "services", "classes"}},
		{"platform that cannot be reached", []string{"status", "--operator", "http://127.0.0.1:1"}, command.ExitFailed, []string{"127.0.0.1:1", "refused"}},
		{"unknown command", []string{"srve"}, command.ExitUsage, []string{"srve"}},
		{"missing flag", []string{"serve"}, command.ExitUsage, []string{"settings"}},
		{"unknown deployment", []string{"demo", "--deployment", "nowhere"}, command.ExitUsage, []string{"nowhere", "estiba", "lydspor"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := program(tt.args...)
			out, _ := cmd.CombinedOutput()
			if code := cmd.ProcessState.ExitCode(); code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			for _, w := range append(tt.words, "masticturn:") {
				if !strings.Contains(string(out), w) {
					t.Errorf("the output does not say %q:\n%s", w, out)
				}
			}
			if strings.Contains(string(out), "goroutine ") || strings.Contains(string(out), ".go:") {
				t.Errorf("a stack trace:\n%s", out)
			}
		})
	}
}
