package command

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"masticturn/internal/digest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/platform/adapter"
	"masticturn/platform/storestandin"
)

func TestQuarantineIsListedAndLifted(t *testing.T) {
	objects := platformtest.NewStore()
	server := httptest.NewServer(storestandin.NewHandler(objects))
	defer server.Close()
	name := digest.HeadOf("GET", "h", "/").Sum(nil).String()
	objects.Put(platform.KindQuarantine, name, []byte(`{"crashes":3,"since":"2026-12-03T08:00:00Z","written_by":"vm-1"}`))
	settings := filepath.Join(t.TempDir(), "node.conf")
	text := "nodeName=vm-1\nip=127.0.0.1\nzone=a1\nregion=a\nzones.a1=a\nlisten.front=127.0.0.1:1\nlisten.ready=127.0.0.1:2\n" +
		"listen.directory=127.0.0.1:3\ninternalPorts=4,5\nplatform.address=" + strings.TrimPrefix(server.URL, "http://") + "\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(adapter.EnvSettings, settings)
	run := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if code := Run(context.Background(), append([]string{"masticturn", "quarantine"}, args...), &out, &errs); code != want {
			t.Errorf("%v: exit code %d, want %d: %s", args, code, want, errs.String())
		}
		return out.String()
	}
	if got := run(ExitOK, "list", "--platform"); !strings.Contains(got, name+"  3        2026-12-03T08:00:00Z  vm-1") {
		t.Errorf("got %q", got)
	}
	if got := run(ExitOK, "list", "--platform", "--json"); !strings.Contains(got, `"digest": "`+name+`"`) {
		t.Errorf("got %q", got)
	}
	run(ExitUsage, "lift", "--platform", "no digest")
	run(ExitFailed, "lift", "--platform", digest.HeadOf("GET", "h", "/other").Sum(nil).String())
	run(ExitOK, "lift", "--platform", name)
	if list, _, err := objects.List(t.Context(), platform.KindQuarantine); err != nil || len(list) != 0 {
		t.Errorf("left: %v, %v", list, err)
	}
	if got := run(ExitOK, "list", "--platform", "--json"); strings.TrimSpace(got) != "[]" {
		t.Errorf("got %q", got)
	}
}
