package operator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/edge"
)

const testToken = "correct-horse"

func newTestServer(t *testing.T, ready error) *Server {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte(testToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := NewServer(Deps{
		TokenFile: file,
		Ready:     func() error { return ready },
		Metrics:   metrics.NewSet(),
		Mounts: []Mount{{Pattern: "/api/", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		})}},
	})
	if err := s.Provision(nil); err != nil {
		t.Fatal(err)
	}
	return s
}

func get(s *Server, path, authorization string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	if authorization != "" {
		r.Header.Set(authorizationField, authorization)
	}
	rec := httptest.NewRecorder()
	s.handler().ServeHTTP(rec, r)
	return rec
}

func TestTokenGuardsMounts(t *testing.T) {
	tests := []struct {
		name, authorization string
		want                int
	}{
		{"none", "", http.StatusUnauthorized},
		{"wrong", "Bearer wrong", http.StatusUnauthorized},
		{"empty", "Bearer ", http.StatusUnauthorized},
		{"other scheme", "Basic " + testToken, http.StatusUnauthorized},
		{"right", "Bearer " + testToken, http.StatusNoContent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := get(newTestServer(t, nil), "/api/x", tt.authorization).Code; got != tt.want {
				t.Errorf("got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestWrongTokensAreLimited(t *testing.T) {
	s := newTestServer(t, nil)
	last := 0
	for range refusalBurst + 1 {
		last = get(s, "/api/x", "Bearer wrong").Code
	}
	if last != http.StatusTooManyRequests {
		t.Errorf("got %d", last)
	}
	if got := get(s, "/api/x", "Bearer "+testToken).Code; got != http.StatusNoContent {
		t.Errorf("the right token was refused with %d", got)
	}
}

func TestReadyzSaysWhyNot(t *testing.T) {
	if rec := get(newTestServer(t, nil), edge.PathReadyz, ""); rec.Code != http.StatusOK {
		t.Errorf("ready: got %d", rec.Code)
	}
	rec := get(newTestServer(t, errors.New("no document yet")), edge.PathReadyz, "")
	if rec.Code != http.StatusServiceUnavailable || rec.Body.String() != "no document yet\n" {
		t.Errorf("not ready: got %d %q", rec.Code, rec.Body.String())
	}
}
