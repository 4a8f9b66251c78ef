package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// lineFormatter writes a log line as one JSON object. The formatter of logrus
// encodes by reflection, which takes a good part of a VM's processor time; this one
// takes the types that fields have.
type lineFormatter struct{}

var _ logrus.Formatter = lineFormatter{}

// Names of the fields that every line has.
const (
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldTime    = "time"
)

// usualFields is how many fields a line has at most without an allocation.
const usualFields = 20

// Format implements logrus.Formatter.
func (lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	b.WriteString(`{"` + fieldTime + `":"`)
	b.Write(e.Time.AppendFormat(b.AvailableBuffer(), time.RFC3339Nano))
	b.WriteString(`","` + fieldLevel + `":"`)
	b.WriteString(e.Level.String())
	b.WriteString(`","` + fieldMessage + `":`)
	writeValue(b, e.Message)
	var room [usualFields]string
	names := room[:0]
	for name := range e.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b.WriteByte(',')
		writeValue(b, name)
		b.WriteByte(':')
		writeValue(b, e.Data[name])
	}
	b.WriteString("}\n")
	return b.Bytes(), nil
}

// writeValue writes a value as JSON.
func writeValue(b *bytes.Buffer, v any) {
	switch v := v.(type) {
	case string:
		writeString(b, v)
	case error:
		writeString(b, v.Error())
	case int:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(v), 10))
	case int64:
		b.Write(strconv.AppendInt(b.AvailableBuffer(), v, 10))
	case uint64:
		b.Write(strconv.AppendUint(b.AvailableBuffer(), v, 10))
	case bool:
		b.Write(strconv.AppendBool(b.AvailableBuffer(), v))
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			writeString(b, fmt.Sprint(v)) // what JSON has no form for
			return
		}
		b.Write(raw)
	}
}

// writeString writes a string as JSON; those of plain letters go as they are.
func writeString(b *bytes.Buffer, s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			raw, err := json.Marshal(s)
			if err != nil {
				raw = []byte(strconv.QuoteToASCII(s)) // never for a string
			}
			b.Write(raw)
			return
		}
	}
	b.WriteByte('"')
	b.WriteString(s)
	b.WriteByte('"')
}
