package roster

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/platform"
)

// storeTimeout is the timeout of a call to the store.
const storeTimeout = 2 * time.Second

// maxVMsPerRegion is the maximum number of VMs taken from an object of the store.
const maxVMsPerRegion = 10_000

// Record is the value of an object of platform.KindRoster. The name of the object is the region.
type Record struct {
	VMs []string `json:"vms"` // names, sorted
}

// parseRecord returns the VMs of an object. The object is not trusted, because other programs may write to it.
func parseRecord(o *platform.Object) ([]VM, error) {
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, trace.Wrap(err, "decode the list of VMs of region %q", o.Name)
	}
	if len(r.VMs) > maxVMsPerRegion {
		return nil, trace.LimitExceeded("region %q has %d VMs, maximum is %d", o.Name, len(r.VMs), maxVMsPerRegion)
	}
	vms := make([]VM, 0, len(r.VMs))
	for _, name := range r.VMs {
		if name == "" {
			return nil, trace.BadParameter("the list of VMs of region %q has an empty name", o.Name)
		}
		vms = append(vms, VM{name, o.Name})
	}
	return vms, nil
}

// readAll returns the VMs of all regions.
func readAll(ctx context.Context, store platform.Store) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := store.List(ctx, platform.KindRoster)
	if err != nil {
		return nil, err
	}
	var all []VM
	for i := range objects {
		vms, err := parseRecord(&objects[i])
		if err != nil {
			return nil, err
		}
		all = append(all, vms...)
	}
	return all, nil
}

// regionObject is a region's object in the store.
type regionObject struct {
	exists  bool
	version platform.Version
	vms     []VM
}

func readRegion(ctx context.Context, store platform.Store, region string) (regionObject, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := store.Get(ctx, platform.KindRoster, region)
	if errors.Is(err, platform.ErrNotFound) {
		return regionObject{}, nil
	}
	if err != nil {
		return regionObject{}, err
	}
	vms, err := parseRecord(&o)
	return regionObject{exists: true, version: o.Version, vms: vms}, err
}

// replace writes the VMs of a region if its object is still the one that was read. It writes nothing if they are
// unchanged.
func (o regionObject) replace(ctx context.Context, store platform.Store, region string, vms []VM) error {
	if o.exists && slices.Equal(o.vms, vms) {
		return nil
	}
	r := Record{VMs: make([]string, 0, len(vms))}
	for _, vm := range vms {
		r.VMs = append(r.VMs, vm.Name)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !o.exists {
		_, err = store.Create(ctx, platform.KindRoster, region, value)
	} else {
		_, err = store.Update(ctx, platform.KindRoster, region, value, o.version)
	}
	return err
}
