package discovery

import (
	"reflect"
	"testing"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// The messages as the builds before deltas encode and decode them.
type (
	earlierPollRequest struct {
		Kind  platform.Kind
		Since platform.Version
		Now   bool
		Eras  bool
	}
	earlierPollAnswer struct {
		Complete    bool
		Changed     []platform.Object
		Removed     []string
		AsOf        platform.Version
		Age         time.Duration
		Packed      []byte
		Confirmed   bool
		ConfirmedAt time.Duration
		Withheld    []platform.Object
		Path        []string
	}
)

// transcode encodes a message as one build and decodes it as another.
func transcode(t *testing.T, from, to any) {
	t.Helper()
	payload, err := peer.Encode(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.CheckPayload(payload); err != nil {
		t.Errorf("%T: %v", from, err)
	}
	if err := peer.Decode(payload, to); err != nil {
		t.Errorf("%T as %T: %v", from, to, err)
	}
}

func TestPollsPassBetweenBuilds(t *testing.T) {
	object := platform.Object{Kind: "doc", Name: "main", Version: 3, Value: []byte("text")}
	earlierRequest := earlierPollRequest{Kind: "doc", Since: 7, Now: true, Eras: true}
	request := pollRequest{Kind: "doc", Since: 7, Now: true, Eras: true}
	earlierAnswer := earlierPollAnswer{
		Complete: true, Changed: []platform.Object{object}, Removed: []string{"x"}, AsOf: 9, Age: time.Second, Packed: []byte{1},
		Confirmed: true, ConfirmedAt: -time.Second, Withheld: []platform.Object{object}, Path: []string{"a", "b"},
	}
	answer := pollAnswer{
		Complete: true, Changed: []platform.Object{object}, Removed: []string{"x"}, AsOf: 9, Age: time.Second, Packed: []byte{1},
		Confirmed: true, ConfirmedAt: -time.Second, Withheld: []platform.Object{object}, Path: []string{"a", "b"},
	}
	withDeltas := answer
	withDeltas.Deltas = []objectDelta{{Name: "main", Version: 4, Base: 3, Value: []byte{1}, Status: []byte(`{}`)}}
	asking := request
	asking.Deltas = true
	for name, c := range map[string]struct{ from, to, want any }{
		"request to an earlier build":   {&asking, &earlierPollRequest{}, &earlierRequest},
		"request of an earlier build":   {&earlierRequest, &pollRequest{}, &request},
		"request of this build":         {&asking, &pollRequest{}, &asking},
		"answer to an earlier build":    {&answer, &earlierPollAnswer{}, &earlierAnswer},
		"answer of an earlier build":    {&earlierAnswer, &pollAnswer{}, &answer},
		"answer of this build":          {&answer, &pollAnswer{}, &answer},
		"answer of this build's deltas": {&withDeltas, &pollAnswer{}, &withDeltas},
		"empty answer to earlier build": {&pollAnswer{}, &earlierPollAnswer{}, &earlierPollAnswer{}},
	} {
		t.Run(name, func(t *testing.T) {
			transcode(t, c.from, c.to)
			if !reflect.DeepEqual(c.to, c.want) {
				t.Errorf("got %+v, want %+v", c.to, c.want)
			}
		})
	}
}
