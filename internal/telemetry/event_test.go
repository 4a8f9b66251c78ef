package telemetry

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestLogCarriesNumberStepAndPeer(t *testing.T) {
	var buf bytes.Buffer
	logger := NewLogger(&buf, FormatJSON, logrus.InfoLevel, "vm-1")
	event := &Event{Number: 1, Level: logrus.WarnLevel, Name: "something"}
	logger.Log(event, Step("connect"), Peer("target-1"))
	var line struct {
		Event                 int
		Step, Peer, VM, Level string
	}
	if err := json.Unmarshal(buf.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Event != 1 || line.Step != "connect" || line.Peer != "target-1" || line.VM != "vm-1" || line.Level != "warning" {
		t.Errorf("got %s", buf.String())
	}
	buf.Reset()
	logger.Log(&Event{Number: 2, Level: logrus.DebugLevel, Name: "detail"})
	if buf.Len() != 0 {
		t.Errorf("a debug event was written at level info: %s", buf.String())
	}
}

func TestRegisterPanicsOnDuplicateNumber(t *testing.T) {
	const number = 999_999
	Register(Event{Number: number, Name: "first"})
	defer delete(catalogue, number)
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	Register(Event{Number: number, Name: "second"})
}
