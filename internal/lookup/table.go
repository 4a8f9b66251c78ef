package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"masticturn/internal/config"
)

// Table places callers by the longest prefix of the document's client blocks.
// It is immutable once built.
type Table struct {
	home   Place
	prefix bart.Table[uint32]
	places []Place
}

var _ Locator = (*Table)(nil)

// NewTable builds the table of a document's client blocks. home is returned
// for callers that no block holds. Blocks that do not parse are left out;
// validation refuses them before a document is accepted.
func NewTable(blocks []config.ClientBlock, home Place) *Table {
	t := &Table{home: home}
	index := make(map[Place]uint32)
	for _, b := range blocks {
		prefix, err := netip.ParsePrefix(b.CIDR)
		if err != nil {
			continue
		}
		place := Place{Region: b.Region, Zone: b.Zone}
		i, ok := index[place]
		if !ok {
			i = uint32(len(t.places))
			index[place] = i
			t.places = append(t.places, place)
		}
		t.prefix.Insert(prefix, i)
	}
	return t
}

// Locate implements Locator.
func (t *Table) Locate(addr netip.Addr) Place {
	if i, ok := t.prefix.Lookup(addr.Unmap()); ok {
		return t.places[i]
	}
	return t.home
}

// Size returns the number of blocks.
func (t *Table) Size() int { return t.prefix.Size() }
