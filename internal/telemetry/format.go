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

// lineFormatter formats a log line as one JSON object. The JSONFormatter of logrus
// encodes by reflection, which costs a significant part of a VM's CPU time. This
// one encodes the types that fields usually have without reflection.
type lineFormatter struct{}

var _ logrus.Formatter = lineFormatter{}

// Names of the fields that all lines contain.
const (
	fieldLevel   = "level"
	fieldMessage = "msg"
	fieldTime    = "time"
)

// inlineFields is the number of fields whose names are sorted without an allocation.
const inlineFields = 20

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
	var buf [inlineFields]string
	names := buf[:0]
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
			writeString(b, fmt.Sprint(v)) // for example NaN, which JSON cannot represent
			return
		}
		b.Write(raw)
	}
}

// writeString writes a string as JSON. Printable ASCII without quotes and
// backslashes needs no escaping and is copied.
func writeString(b *bytes.Buffer, s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			raw, err := json.Marshal(s)
			if err != nil {
				raw = []byte(strconv.QuoteToASCII(s)) // unreachable: strings can always be encoded
			}
			b.Write(raw)
			return
		}
	}
	b.WriteByte('"')
	b.WriteString(s)
	b.WriteByte('"')
}
