package peer

import (
	"bufio"
	"bytes"
	"errors"
	"testing"
)

// nested returns n arrays in each other.
func nested(n int) []byte { return append(bytes.Repeat([]byte{0x91}, n), 0xc0) }

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
		{"cut short", good[:len(good)-1], false},
		{"bytes after it", append(bytes.Clone(good), 0xc0), false},
		{"deepest", nested(maxDepth), true},
		{"too deep", nested(maxDepth + 1), false},
		{"far too deep", nested(1 << 20), false},
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
	f, err := readFrame(bufio.NewReader(bytes.NewReader(whole)), 100)
	if err != nil || f.typ != frameCall || f.kind != KindPermit || f.id != 7 || f.ack != 9 || len(f.bytes()) != 1 {
		t.Fatalf("got %+v, %v", f, err)
	}
	for name, raw := range map[string][]byte{
		"too long":     appendFrame(nil, frameCall, KindPermit, 7, 9, make([]byte, 100)),
		"too short":    {0, 0, 0, 9, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0},
		"type":         appendFrame(nil, frameTypes, KindPermit, 7, 9, nil),
		"bad payload":  appendFrame(nil, frameCall, KindPermit, 7, 9, []byte{0x92, 0xc0}),
		"type of zero": appendFrame(nil, 0, KindPermit, 7, 9, nil),
	} {
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), 100); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	hi, _ := Encode(&hello{Version: 1, VM: "a"})
	f.Add(appendFrame(nil, frameHello, 0, 0, 0, hi))
	f.Add(appendFrame(nil, frameSend, KindHeartbeat, 1, 2, nested(40)))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Add(appendFrame(nil, frameAnswer, KindPermit, 3, 4, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bufio.NewReader(bytes.NewReader(raw))
		for {
			fr, err := readFrame(r, 1<<16)
			if err != nil {
				return
			}
			var h hello
			var v any
			if fr.payload != nil {
				_ = Decode(fr.bytes(), &h)
				if err := Decode(fr.bytes(), &v); err == nil && len(fr.bytes()) > 1<<16 {
					t.Fatal("longer than allowed")
				}
			}
			fr.payload.release()
		}
	})
}
