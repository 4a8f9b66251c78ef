package settings

import (
	"strings"
	"testing"
)

const validSettings = `{
  // one VM of Estiba
  "vm": {"name": "ros-a-1", "zone": "ros-a", "region": "rosario"},
  "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
  "platform": {"url": "http://127.0.0.1:1"},
}`

func TestParseAcceptsCommentsAndSetsDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.VM.Zone != "ros-a" || s.Platform.TimeoutMS != defaultTimeoutMS || s.Log.Level != defaultLogLevel {
		t.Errorf("got %+v", s)
	}
}

func TestParseErrorsNameLineFieldAndAllowedValues(t *testing.T) {
	tests := []struct {
		name, old, new string
		words          []string
	}{
		{"unknown field", `"platform": {`, `"platfrom": {`, []string{"line 5", "platfrom", "platform.url"}},
		{"wrong type", `"http://127.0.0.1:1"`, `7`, []string{"line 5", "platform.url", "string"}},
		{"missing zone", `"zone": "ros-a", `, ``, []string{"vm.zone", "required"}},
		{"bad listener", `"peers": "127.0.0.1:0"`, `"peers": "here"`, []string{"listen.peers", "here", "host:port"}},
		{"not JSON", `"vm": {`, `"vm": [`, []string{"line 3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if err == nil {
				t.Fatal("no error")
			}
			for _, w := range tt.words {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q does not contain %q", err, w)
				}
			}
		})
	}
}
