package config

import (
	"cmp"
	"net/netip"
	"regexp"
	"slices"
)

// Bounds on the values of a document.
const (
	maxVMs          = 10_000
	maxRegions      = 64
	maxZones        = 256
	maxClasses      = 32
	maxTenants      = 10_000
	maxServices     = 1_000
	maxTargets      = 20_000
	maxClientBlocks = 2_000_000
	maxPriority     = 100
	maxWeight       = 1_000_000

	maxMillis        Millis = 24 * 3_600_000 // one day
	maxTimeout       Millis = 3_600_000      // one hour
	maxTargetQuiet   Millis = 3_000
	maxLookupAge     Millis = 600_000
	minShiftWindow   Millis = 100
	maxShiftWindow   Millis = 3_600_000
	minProbe         Millis = 50
	maxLookupAnswers        = 16
	maxAttempts             = 10
	maxSlots                = 100_000
	maxConnections          = 1_000_000
	maxBytes                = 1 << 40
	maxOneWay        Millis = 10_000
	maxRate                 = 1_000_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const allowedName = "a name of 1 to 63 letters, digits, dots, dashes or underscores, beginning with a letter or digit"

// validator checks one document with the tables it needs for cross-checks.
type validator struct {
	faultList
	doc          *Document
	regionOfZone map[string]string
	regions      map[string]bool
	classes      map[string]*Class
	tenants      map[string]bool
	services     map[string]*Service
}

// Validate checks a document against all rules, as it will be in force: with
// the defaults filled in. It returns nil or an *InvalidError with every fault.
// The document is not changed.
func Validate(doc *Document) error {
	effective, err := Effective(doc)
	if err != nil {
		return err
	}
	v := &validator{
		doc:          effective,
		regionOfZone: make(map[string]string),
		regions:      make(map[string]bool),
		classes:      make(map[string]*Class),
		tenants:      make(map[string]bool),
		services:     make(map[string]*Service),
	}
	v.name("deployment", effective.Deployment)
	v.checkFleet()
	v.checkRegions()
	v.checkLinks()
	v.checkClasses()
	v.checkTenants()
	v.checkServices()
	v.checkHosts()
	v.checkShiftCaps()
	v.checkClientBlocks()
	v.checkTimes()
	v.checkLimits()
	v.checkRetry()
	v.checkSteering()
	return v.err()
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.report(path, name, allowedName)
	}
}

// unique reports a name seen before.
func (v *validator) unique(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok {
		v.report(path, name, "a name not used before; %s has it", first)
		return
	}
	seen[name] = path
}

func (v *validator) count(path string, n, least, most int) {
	if n < least || n > most {
		v.report(path, n, "%d to %d entries", least, most)
	}
}

func inRange[T cmp.Ordered](v *validator, path string, value, least, most T) {
	if value < least || value > most {
		v.report(path, value, "%v to %v", least, most)
	}
}

func (v *validator) knownRegion(path, name string) bool {
	if v.regions[name] {
		return true
	}
	v.report(path, name, "a region of the document: %s", quoted(v.regions))
	return false
}

func (v *validator) checkFleet() {
	f := v.doc.Fleet
	inRange(v, "fleet.max_vms", f.MaxVMs, 1, maxVMs)
	inRange(v, "fleet.max_vms_per_region", f.MaxVMsPerRegion, 1, max(1, f.MaxVMs))
}

func (v *validator) checkRegions() {
	v.count("regions", len(v.doc.Regions), 1, maxRegions)
	names := make(map[string]string)
	zones := make(map[string]string)
	for i, r := range v.doc.Regions {
		path := at("regions", i)
		v.name(path+".name", r.Name)
		v.unique(names, path+".name", r.Name)
		v.regions[r.Name] = true
		v.count(path+".zones", len(r.Zones), 1, maxZones)
		for j, zone := range r.Zones {
			zonePath := at(path+".zones", j)
			v.name(zonePath, zone)
			v.unique(zones, zonePath, zone)
			v.regionOfZone[zone] = r.Name
		}
	}
}

func (v *validator) checkLinks() {
	seen := make(map[string]string)
	for i, l := range v.doc.Links {
		path := at("links", i)
		v.knownRegion(path+".from", l.From)
		v.knownRegion(path+".to", l.To)
		if l.From == l.To {
			v.report(path+".to", l.To, "a region other than from")
		}
		v.unique(seen, path, l.From+"→"+l.To)
		inRange(v, path+".one_way_ms", l.OneWayMS, 0, maxOneWay)
		inRange(v, path+".requests_per_second", l.RequestsPerSecond, 0, maxRate)
		inRange(v, path+".bytes_per_second", l.BytesPerSecond, 0, maxBytes)
	}
}

func (v *validator) checkClasses() {
	v.count("classes", len(v.doc.Classes), 1, maxClasses)
	seen := make(map[string]string)
	for i := range v.doc.Classes {
		c := &v.doc.Classes[i]
		path := at("classes", i)
		v.name(path+".name", c.Name)
		v.unique(seen, path+".name", c.Name)
		v.classes[c.Name] = c
		inRange(v, path+".priority", c.Priority, 0, maxPriority)
		inRange(v, path+".weight", c.Weight, 1, maxWeight)
		inRange(v, path+".max_wait_ms", c.MaxWaitMS, 1, maxTimeout)
		inRange(v, path+".timeout_ms", c.TimeoutMS, 1, maxTimeout)
		if c.MaxWaitMS >= c.TimeoutMS {
			v.report(path+".max_wait_ms", c.MaxWaitMS, "less than timeout_ms (%d), or a request that waited cannot run", c.TimeoutMS)
		}
	}
}

func (v *validator) checkTenants() {
	v.count("tenants", len(v.doc.Tenants), 0, maxTenants)
	seen := make(map[string]string)
	for i, t := range v.doc.Tenants {
		path := at("tenants", i)
		v.name(path+".name", t.Name)
		v.unique(seen, path+".name", t.Name)
		v.tenants[t.Name] = true
		inRange(v, path+".weight", t.Weight, 1, maxWeight)
	}
}

func (v *validator) checkClientBlocks() {
	v.count("client_blocks", len(v.doc.ClientBlocks), 0, maxClientBlocks)
	seen := make(map[netip.Prefix]int, len(v.doc.ClientBlocks))
	for i, b := range v.doc.ClientBlocks {
		path := at("client_blocks", i)
		known := v.knownRegion(path+".region", b.Region)
		if b.Zone != "" && known && v.regionOfZone[b.Zone] != b.Region {
			v.report(path+".zone", b.Zone, "an availability zone of region %q", b.Region)
		}
		prefix, err := netip.ParsePrefix(b.CIDR)
		if err != nil || prefix != prefix.Masked() {
			v.report(path+".cidr", b.CIDR, "an address block such as \"192.0.2.0/24\" with no bit set behind the prefix")
			continue
		}
		if first, ok := seen[prefix]; ok {
			v.report(path+".cidr", b.CIDR, "a block not used before; %s has it", at("client_blocks", first))
			continue
		}
		seen[prefix] = i
	}
}

func quoted(names map[string]bool) string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, showValue(name))
	}
	slices.Sort(sorted)
	return joinNames(sorted)
}
