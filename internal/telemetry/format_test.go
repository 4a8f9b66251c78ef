package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// Each line is one valid JSON object, whatever values its fields have.
func TestLinesAreJSON(t *testing.T) {
	var buf bytes.Buffer
	logger := NewLogger(&buf, FormatJSON, logrus.InfoLevel, "vm-1")
	logger.Log(failure,
		Value("plain", "a b/c"), Value("quoted", `a "b" \c`), Value("control", "a\n\x01\xff"), Value("accent", "é"),
		Value("int", -5), Value("int64", int64(1)<<62), Value("uint64", uint64(math.MaxUint64)), Value("bool", true),
		Value("list", []string{"a"}), Value("map", map[int]int{1: 2}), Value("nan", math.NaN()), Value("nothing", nil),
		Err(errors.New("line one\nline two")))
	if bytes.Count(buf.Bytes(), []byte("\n")) != 1 {
		t.Fatalf("more than one line: %s", buf.String())
	}
	var line map[string]any
	if err := json.Unmarshal(buf.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, buf.String())
	}
	for name, want := range map[string]any{
		"plain": "a b/c", "quoted": `a "b" \c`, "accent": "é", "int": -5.0, "bool": true, "nan": "NaN", "nothing": nil,
		"error": "line one\nline two", "vm": "vm-1", "msg": "failure", "level": "warning", "event": 2.0,
	} {
		if line[name] != want {
			t.Errorf("%s: got %v, want %v", name, line[name], want)
		}
	}
	if _, err := time.Parse(time.RFC3339Nano, line["time"].(string)); err != nil {
		t.Error(err)
	}
}

func BenchmarkLine(b *testing.B) {
	logger := NewLogger(&bytes.Buffer{}, FormatJSON, logrus.InfoLevel, "vm-1")
	entry := logger.out.WithFields(logrus.Fields{
		"event": 8401, "request_id": "67cfc6bb3dc34e68", "peer": "i-31e98033e3", "object": "45", "rank": 0,
		"known": true, "region": "se-stockholm", "own": 2, "others": 3, "age_ms": int64(124), "waited_ms": int64(0),
	})
	for name, f := range map[string]logrus.Formatter{"logrus": &logrus.JSONFormatter{}, "lineFormatter": lineFormatter{}} {
		b.Run(name, func(b *testing.B) {
			entry.Buffer = &bytes.Buffer{}
			b.ReportAllocs()
			for b.Loop() {
				entry.Buffer.Reset()
				if _, err := f.Format(entry); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
