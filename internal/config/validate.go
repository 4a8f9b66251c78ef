package config

import (
	"cmp"
	"net/netip"
	"regexp"
	"slices"
)

// Limits on the values of a document.
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

// validator checks one document and holds the tables for cross-references.
type validator struct {
	faultList
	doc          *Document
	regionOfZone map[string]string
	regions      map[string]bool
	classes      map[string]*Class
	tenants      map[string]bool
	services     map[string]*Service
}

// Validate checks a document against all rules, with defaults filled in as they
// will be in force. It returns nil or an *InvalidError with all faults. The
// document is not modified.
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
	v.checkName("deployment", effective.Deployment)
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

func (v *validator) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		v.report(path, name, allowedName)
	}
}

// checkUnique reports a fault if the name is already in seen, and records it otherwise.
func (v *validator) checkUnique(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok {
		v.report(path, name, "a unique name; it is already used by %s", first)
		return
	}
	seen[name] = path
}

func (v *validator) checkCount(path string, n, least, most int) {
	if n < least || n > most {
		v.report(path, n, "%d to %d entries", least, most)
	}
}

func checkRange[T cmp.Ordered](v *validator, path string, value, least, most T) {
	if value < least || value > most {
		v.report(path, value, "%v to %v", least, most)
	}
}

func (v *validator) checkRegion(path, name string) bool {
	if v.regions[name] {
		return true
	}
	v.report(path, name, "a region of the document: %s", quotedNames(v.regions))
	return false
}

func (v *validator) checkFleet() {
	f := v.doc.Fleet
	checkRange(v, "fleet.max_vms", f.MaxVMs, 1, maxVMs)
	checkRange(v, "fleet.max_vms_per_region", f.MaxVMsPerRegion, 1, max(1, f.MaxVMs))
}

func (v *validator) checkRegions() {
	v.checkCount("regions", len(v.doc.Regions), 1, maxRegions)
	names := make(map[string]string)
	zones := make(map[string]string)
	for i, r := range v.doc.Regions {
		path := elementPath("regions", i)
		v.checkName(path+".name", r.Name)
		v.checkUnique(names, path+".name", r.Name)
		v.regions[r.Name] = true
		v.checkCount(path+".zones", len(r.Zones), 1, maxZones)
		for j, zone := range r.Zones {
			zonePath := elementPath(path+".zones", j)
			v.checkName(zonePath, zone)
			v.checkUnique(zones, zonePath, zone)
			v.regionOfZone[zone] = r.Name
		}
	}
}

func (v *validator) checkLinks() {
	seen := make(map[string]string)
	for i, l := range v.doc.Links {
		path := elementPath("links", i)
		v.checkRegion(path+".from", l.From)
		v.checkRegion(path+".to", l.To)
		if l.From == l.To {
			v.report(path+".to", l.To, "a region other than from")
		}
		v.checkUnique(seen, path, l.From+"→"+l.To)
		checkRange(v, path+".one_way_ms", l.OneWayMS, 0, maxOneWay)
		checkRange(v, path+".requests_per_second", l.RequestsPerSecond, 0, maxRate)
		checkRange(v, path+".bytes_per_second", l.BytesPerSecond, 0, maxBytes)
	}
}

func (v *validator) checkClasses() {
	v.checkCount("classes", len(v.doc.Classes), 1, maxClasses)
	seen := make(map[string]string)
	for i := range v.doc.Classes {
		c := &v.doc.Classes[i]
		path := elementPath("classes", i)
		v.checkName(path+".name", c.Name)
		v.checkUnique(seen, path+".name", c.Name)
		v.classes[c.Name] = c
		checkRange(v, path+".priority", c.Priority, 0, maxPriority)
		checkRange(v, path+".weight", c.Weight, 1, maxWeight)
		checkRange(v, path+".max_wait_ms", c.MaxWaitMS, 1, maxTimeout)
		checkRange(v, path+".timeout_ms", c.TimeoutMS, 1, maxTimeout)
		if c.MaxWaitMS >= c.TimeoutMS {
			v.report(path+".max_wait_ms", c.MaxWaitMS, "less than timeout_ms (%d), so that a queued request still has time to run", c.TimeoutMS)
		}
	}
}

func (v *validator) checkTenants() {
	v.checkCount("tenants", len(v.doc.Tenants), 0, maxTenants)
	seen := make(map[string]string)
	for i, t := range v.doc.Tenants {
		path := elementPath("tenants", i)
		v.checkName(path+".name", t.Name)
		v.checkUnique(seen, path+".name", t.Name)
		v.tenants[t.Name] = true
		checkRange(v, path+".weight", t.Weight, 1, maxWeight)
	}
}

func (v *validator) checkClientBlocks() {
	v.checkCount("client_blocks", len(v.doc.ClientBlocks), 0, maxClientBlocks)
	seen := make(map[netip.Prefix]int, len(v.doc.ClientBlocks))
	for i, b := range v.doc.ClientBlocks {
		path := elementPath("client_blocks", i)
		known := v.checkRegion(path+".region", b.Region)
		if b.Zone != "" && known && v.regionOfZone[b.Zone] != b.Region {
			v.report(path+".zone", b.Zone, "an availability zone of region %q", b.Region)
		}
		prefix, err := netip.ParsePrefix(b.CIDR)
		if err != nil || prefix != prefix.Masked() {
			v.report(path+".cidr", b.CIDR, "an address block such as \"192.0.2.0/24\" with no bits set after the prefix")
			continue
		}
		if first, ok := seen[prefix]; ok {
			v.report(path+".cidr", b.CIDR, "a unique block; it is already used by %s", elementPath("client_blocks", first))
			continue
		}
		seen[prefix] = i
	}
}

func quotedNames(names map[string]bool) string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, formatValue(name))
	}
	slices.Sort(sorted)
	return joinNames(sorted)
}
