package lookup

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"masticturn/internal/config"
)

// Table is a Locator that maps addresses to places by the longest matching
// prefix of the document's client blocks. It is immutable.
type Table struct {
	defaultPlace Place
	prefix       bart.Table[uint32]
	places       []Place
}

var _ Locator = (*Table)(nil)

// NewTable builds the table of a document's client blocks. Addresses that no
// block contains map to defaultPlace. Blocks that can't be parsed are skipped;
// validation rejects documents that contain them.
func NewTable(blocks []config.ClientBlock, defaultPlace Place) *Table {
	t := &Table{defaultPlace: defaultPlace}
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
	return t.defaultPlace
}

// Size returns the number of client blocks in the table.
func (t *Table) Size() int { return t.prefix.Size() }
