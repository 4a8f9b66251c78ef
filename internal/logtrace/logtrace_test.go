package logtrace

import (
	"strings"
	"testing"
	"time"
)

const logText = `prefix {"event":8401,"msg":"request placed","peer":"t1","request_id":"a","time":"2026-01-02T03:04:05.100Z","vm":"vm1","level":"info"}
{"event":8104,"msg":"target changed","peer":"t1","state":"leaving","time":"2026-01-02T03:04:04.900Z","vm":"vm1"}
{"event":8104,"msg":"target changed","peer":"t9","state":"leaving","time":"2026-01-02T03:04:04.900Z","vm":"vm1"}
{"event":8104,"msg":"target changed","peer":"t1","state":"leaving","time":"2026-01-02T03:04:04.900Z","vm":"vm2"}
{"event":8101,"msg":"store lost","time":"2026-01-02T03:04:04.950Z","vm":"vm1"}
{"event":8101,"msg":"store lost","time":"2026-01-02T03:03:04.950Z","vm":"vm1"}
{"event":8401,"msg":"request placed","peer":"t1","request_id":"b","time":"2026-01-02T03:04:05.200Z","vm":"vm1"}
{"event":5001,"msg":"request failed","peer":"t1","request_id":"a","time":"2026-01-02T03:04:06.100Z","vm":"vm1"}
not a line
{"event":"broken"
`

func TestRequestLines(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range RequestLines(lines, "a", time.Second) {
		got = append(got, l.Message+" "+l.Text(fieldPeer))
	}
	want := "target changed t1|store lost |request placed t1|request failed t1"
	if strings.Join(got, "|") != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if RequestLines(lines, "unknown", time.Second) != nil {
		t.Error("got lines for an unknown request id, want none")
	}
}

func TestLineString(t *testing.T) {
	lines, err := Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	const want = "03:04:05.100 vm1 8401 request placed peer=t1 request_id=a"
	if got := lines[0].String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRequestLinesIncludeDigest(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"event":5302,"msg":"request is in quarantine","digest":"d1","time":"2026-01-02T03:00:00Z","vm":"vm2"}
{"event":5302,"msg":"request is in quarantine","digest":"d2","time":"2026-01-02T03:00:00Z","vm":"vm1"}
{"event":5009,"msg":"run broken by its target","digest":"d1","request_id":"b","time":"2026-01-02T03:00:00Z","vm":"vm2"}
{"event":5010,"msg":"request held back","digest":"d1","request_id":"a","time":"2026-01-02T03:04:05Z","vm":"vm1"}
{"event":5303,"msg":"request is cleared","digest":"d1","time":"2026-01-02T03:04:06Z","vm":"vm1"}
`))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range RequestLines(lines, "a", time.Second) {
		got = append(got, l.VM+" "+l.Message)
	}
	if want := "vm2 request is in quarantine|vm1 request held back"; strings.Join(got, "|") != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRequestLinesIncludeTheTunnelAtBothVMs(t *testing.T) {
	lines, err := Read(strings.NewReader(`{"event":5006,"msg":"request answered","peer":"t1","carrier":"vm2","tunnel":"vm1-7","request_id":"a","time":"2026-01-02T03:04:05Z","vm":"vm1"}
{"event":5504,"msg":"connection carried","peer":"vm1","tunnel":"vm1-6","time":"2026-01-02T03:04:05Z","vm":"vm2"}
{"event":5504,"msg":"connection carried","peer":"vm1","tunnel":"vm1-7","time":"2026-01-02T03:04:09Z","vm":"vm2"}
{"event":5504,"msg":"connection carried","peer":"vm1","time":"2026-01-02T03:04:09Z","vm":"vm2"}
`))
	if err != nil {
		t.Fatal(err)
	}
	got := RequestLines(lines, "a", time.Second)
	if len(got) != 2 || got[0].Event != 5006 || got[1].Event != 5504 || got[1].Text(fieldTunnel) != "vm1-7" {
		t.Errorf("got %v, want the request's line and that of its tunnel", got)
	}
}
