package placement

import (
	"testing"
	"time"

	"masticturn/internal/mutation"
	"masticturn/internal/peer"
)

// spoiledCases is how many spoiled messages are taken in in an ordinary run.
const spoiledCases = 4000

func wordSeeds(t testing.TB) [][]byte {
	raw, err := peer.Encode(&Word{Life: time.Second, Services: map[string]*Use{"svc": {
		Running: map[uint32]int{shortID("ros-0"): 3, shortID("ros-1"): 1}, Objects: map[uint32][]string{shortID("ros-0"): {"a", "b"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{raw}
}

// checkWord takes in a message of another VM, from above and from below. Whatever it
// says, no target is made or believed to be idler than this VM knows or fuller than
// VMs can make it.
func checkWord(t *testing.T, p *Pool, data []byte) {
	var w Word
	if peer.CheckPayload(data) != nil || peer.Decode(data, &w) != nil {
		return
	}
	targets := len(p.order)
	for _, u := range w.Services {
		if u != nil {
			p.Hear(u, w.Life, start)
		}
	}
	if len(p.targets) != targets || len(p.order) != targets {
		t.Errorf("%q makes %d targets of %d", data, len(p.targets), targets)
	}
	for _, target := range p.order {
		if target.shared < 0 || target.shared > target.most() || len(target.objects.last) > objectsMost {
			t.Errorf("%q: %s has %d requests and %d objects", data, target.Name, target.shared, len(target.objects.last))
		}
	}
	teller := NewTeller()
	teller.SetPosition(Position{Above: "top", Below: []string{"below"}})
	teller.Told("below", &w, start)
	turn := teller.Take(func() *Word { return wordOf(1) }, start)
	if turn.Word.Services["svc"].Running[1] < 1 {
		t.Errorf("%q takes away what the VM itself has", data)
	}
}

func FuzzWord(f *testing.F) {
	for _, seed := range wordSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, _ := newTestPool(t, "ros", estiba)
		checkWord(t, p, data)
	})
}

func TestSpoiledWords(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	mutation.Cases(wordSeeds(t), spoiledCases, func(data []byte) { checkWord(t, p, data) })
}
