package peer

import (
	"bufio"
	"bytes"
	"errors"
	"testing"
)

// nestedArrays returns the encoding of n nested arrays.
func nestedArrays(n int) []byte { return append(bytes.Repeat([]byte{0x91}, n), 0xc0) }

func TestCheckPayload(t *testing.T) {
	good, err := Encode([]any{1, -5, 3.5, "text", []byte("bytes"), nil, true, map[string]int{"a": 1}, []string{}})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		payload []byte
		ok      bool
	}{
		{"all types", good, true},
		{"truncated", good[:len(good)-1], false},
		{"trailing bytes", append(bytes.Clone(good), 0xc0), false},
		{"maximum depth", nestedArrays(maxDepth), true},
		{"too deep", nestedArrays(maxDepth + 1), false},
		{"far too deep", nestedArrays(1 << 20), false},
		{"array longer than the frame", []byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0xc0}, false},
		{"map longer than the frame", []byte{0xdf, 0x7f, 0xff, 0xff, 0xff, 0xc0}, false},
		{"bytes longer than the frame", []byte{0xc6, 0x7f, 0xff, 0xff, 0xff, 0xc0}, false},
		{"unassigned code", []byte{0xc1}, false},
	}
	for _, c := range cases {
		if err := CheckPayload(c.payload); (err == nil) != c.ok {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

func TestReadFrameLengths(t *testing.T) {
	whole := appendFrame(nil, frameCall, KindPermit, 7, 9, []byte{0xc0})
	f, err := readFrame(bufio.NewReader(bytes.NewReader(whole)), 100, nil)
	if err != nil || f.typ != frameCall || f.kind != KindPermit || f.id != 7 || f.ack != 9 || len(f.bytes()) != 1 {
		t.Fatalf("got %+v, %v", f, err)
	}
	for name, raw := range map[string][]byte{
		"too long":     appendFrame(nil, frameCall, KindPermit, 7, 9, make([]byte, 100)),
		"too short":    {0, 0, 0, 9, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0},
		"unknown type": appendFrame(nil, frameTypeEnd, KindPermit, 7, 9, nil),
		"bad payload":  appendFrame(nil, frameCall, KindPermit, 7, 9, []byte{0x92, 0xc0}),
		"zero type":    appendFrame(nil, 0, KindPermit, 7, 9, nil),
	} {
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), 100, nil); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	payload, _ := Encode(&hello{Version: 1, VM: "a"})
	f.Add(appendFrame(nil, frameHello, 0, 0, 0, payload))
	f.Add(appendFrame(nil, frameSend, KindHeartbeat, 1, 2, nestedArrays(40)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add(appendFrame(nil, frameResponse, KindPermit, 3, 4, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			received, err := readFrame(r, 1<<16, nil)
			if err != nil {
				return
			}
			var h hello
			var v any
			if received.payload != nil {
				_ = Decode(received.bytes(), &h)
				if err := Decode(received.bytes(), &v); err == nil && len(received.bytes()) > 1<<16 {
					t.Fatal("payload exceeds the maximum length")
				}
			}
			received.payload.release()
		}
	})
}
