package bench

import (
	"context"
	"testing"
	"time"
)

func TestPath(t *testing.T) {
	r, err := Path(context.Background(), PathOptions{Start: StartDaemon, Requests: 200, Duration: time.Second, Workers: 8})
	if err != nil {
		t.Fatal(err)
	}
	if r.BrokenPromises != 0 || r.NotAnswered != 0 || r.Answered < 300 || r.AddedP50MS <= 0 || r.AllocsPerRequest <= r.DirectAllocs {
		t.Fatalf("%+v", r)
	}
}

func TestLookup(t *testing.T) {
	r, err := Lookup(context.Background(), LookupOptions{Start: StartDaemon, Duration: 200 * time.Millisecond, Workers: 4})
	if err != nil {
		t.Fatal(err)
	}
	if r.Answered == 0 || r.Failed != 0 {
		t.Fatalf("%+v", r)
	}
}
