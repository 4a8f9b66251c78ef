package placement

import (
	"testing"

	"masticturn/internal/mutation"
	"masticturn/internal/peer"
)

// spoiledCases is how many spoiled messages are taken in in an ordinary run.
const spoiledCases = 4000

func useSeeds(t testing.TB) [][]byte {
	raw, err := peer.Encode(&useMessage{Services: map[string]*Use{"svc": {
		Running: map[string]int{"ros-0": 3, "ros-1": 1}, Objects: map[string][]string{"ros-0": {"a", "b"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	return [][]byte{raw}
}

// checkUse takes in a message of another VM. Whatever it says, no target is made
// or believed to be idler than this VM knows or fuller than a VM can make it.
func checkUse(t *testing.T, p *Pool, data []byte) {
	var m useMessage
	if peer.CheckPayload(data) != nil || peer.Decode(data, &m) != nil {
		return
	}
	targets := len(p.order)
	for _, u := range m.Services {
		if u != nil {
			p.Hear("vm-1", u, start)
		}
	}
	if len(p.targets) != targets || len(p.order) != targets || len(p.heard) > 1 {
		t.Errorf("%q makes %d targets of %d", data, len(p.targets), targets)
	}
	for _, target := range p.order {
		if target.shared < 0 || target.shared > target.most() || len(target.objects.last) > objectsMost {
			t.Errorf("%q: %s has %d requests and %d objects", data, target.Name, target.shared, len(target.objects.last))
		}
	}
}

func FuzzUse(f *testing.F) {
	for _, seed := range useSeeds(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, _ := newTestPool(t, "ros", estiba)
		checkUse(t, p, data)
	})
}

func TestSpoiledUses(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	mutation.Cases(useSeeds(t), spoiledCases, func(data []byte) { checkUse(t, p, data) })
}
