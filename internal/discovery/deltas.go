package discovery

import (
	"github.com/gravitational/trace"

	"masticturn/internal/delta"
	"masticturn/internal/platform"
)

// minDeltaBytes is the size from which on the content of a changed object is sent as its differences from an earlier
// version.
const minDeltaBytes = 4 << 10

// maxEarlierVersions is the number of earlier versions of a large object that are kept as bases of deltas. VMs that
// poll this one are rarely further behind.
const maxEarlierVersions = 4

// objectDelta is a changed object, as the differences of its value from an earlier version.
type objectDelta struct {
	Name    string
	Version platform.Version
	Base    platform.Version
	Value   []byte // encoded by the package delta
	Status  []byte // whole
}

// earlierVersions holds the versions of large objects before the current ones, by name, the latest last.
type earlierVersions map[string][]platform.Object

// add keeps an object that is about to be replaced, if it is large.
func (e earlierVersions) add(o platform.Object) {
	if len(o.Value) < minDeltaBytes {
		delete(e, o.Name) // what is known ends before this version
		return
	}
	versions := append(e[o.Name], o)
	e[o.Name] = versions[max(0, len(versions)-maxEarlierVersions):]
}

// asOf returns the latest earlier version of an object that is not newer than the given version.
func (e earlierVersions) asOf(name string, v platform.Version) (platform.Object, bool) {
	versions := e[name]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].Version <= v {
			return versions[i], true
		}
	}
	return platform.Object{}, false
}

// deltaKey identifies a delta between two versions of an object.
type deltaKey struct {
	kind          platform.Kind
	name          string
	base, version platform.Version
}

// deltaCache holds encoded deltas to the latest versions, as the VMs that poll this one mostly request the same.
type deltaCache map[deltaKey][]byte

// put adds a delta and drops those to other versions of the object.
func (c deltaCache) put(key deltaKey, encoded []byte) {
	for k := range c {
		if k.kind == key.kind && k.name == key.name && k.version != key.version {
			delete(c, k)
		}
	}
	c[key] = encoded
}

// deltasSince splits the objects that changed since a version into deltas, where that version is known and the object
// is large, and the others. s.mu is held.
func (s *Service) deltasSince(kind platform.Kind, since platform.Version, changed []platform.Object) (deltas []objectDelta, others []platform.Object) {
	for _, o := range changed {
		base, known := s.mirrors[kind].earlier.asOf(o.Name, since)
		if !known || len(o.Value) < minDeltaBytes {
			others = append(others, o)
			continue
		}
		key := deltaKey{kind, o.Name, base.Version, o.Version}
		encoded, cached := s.deltas[key]
		if !cached {
			var err error
			if encoded, err = delta.Encode(base.Value, o.Value); err != nil {
				others = append(others, o)
				continue
			}
			s.deltas.put(key, encoded)
		}
		deltas = append(deltas, objectDelta{o.Name, o.Version, base.Version, encoded, o.Status})
	}
	return deltas, others
}

// applyDeltas returns the objects of a peer's deltas. It fails if this VM does not have their bases. The deltas are
// kept for the VMs that poll this one.
func (s *Service) applyDeltas(kind platform.Kind, deltas []objectDelta) ([]platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []platform.Object
	for _, d := range deltas {
		base, known := s.mirrors[kind].Get(d.Name)
		if !known || base.Version != d.Base {
			return nil, trace.NotFound("delta of %s from version %v: this VM has version %v", d.Name, d.Base, base.Version)
		}
		value, err := delta.Apply(base.Value, d.Value, maxObjectBytes(s.deps.Decoder.Kinds())[kind])
		if err != nil {
			return nil, trace.Wrap(err, "delta of %s from version %v", d.Name, d.Base)
		}
		s.deltas.put(deltaKey{kind, d.Name, d.Base, d.Version}, d.Value)
		objects = append(objects, platform.Object{Kind: kind, Name: d.Name, Version: d.Version, Value: value, Status: d.Status})
	}
	return objects, nil
}
