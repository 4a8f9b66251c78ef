package console

import (
	"reflect"
	"strings"

	"masticturn/internal/config"
)

// labels are those that do not follow from the field's name.
var labels = map[string]string{
	"Document.Fleet":               "Fleet size",
	"Document.ShiftCaps":           "Shift caps",
	"Document.Lookup":              "Look-ups",
	"Document.Drain":               "Planned stops",
	"Document.Limits":              "Limits of callers",
	"Document.Retry":               "Retries",
	"Fleet.MaxVMs":                 "Most VMs in all",
	"Fleet.MaxVMsPerRegion":        "Most VMs of one region",
	"Region.Zones":                 "Availability zones",
	"Link.OneWayMS":                "Latency one way",
	"ClientBlock.CIDR":             "Address block (CIDR)",
	"ClientBlock.Zone":             "Nearest availability zone",
	"Target.Zone":                  "Availability zone",
	"Service.ServiceMS":            "Expected time of a request",
	"Route.RequireKey":             "Require Idempotency-Key",
	"Limits.MaxConnectionsPerAddr": "Most connections per address",
}

// helps are the descriptions of fields that the document's types have none for.
var helps = map[string]string{
	"Region.Name":                  "unique; such as rosario",
	"Link.From":                    "region of the callers",
	"Link.To":                      "region of the targets",
	"Class.Name":                   "unique; routes name it",
	"Tenant.Name":                  "unique; routes name it",
	"Tenant.Weight":                "share within a class, relative to other tenants",
	"Service.Name":                 "unique; such as planview",
	"Target.Address":               "host:port by IP number",
	"Target.Zone":                  "where it runs",
	"ShiftCap.From":                "region of the callers",
	"ShiftCap.To":                  "region of the targets",
	"ShiftCap.WindowMS":            "length of a window in which requests are counted",
	"ClientBlock.CIDR":             "addresses of callers; the longest match counts",
	"ClientBlock.Region":           "where these callers are",
	"Limits.MaxHeaderBytes":        "largest header of a request",
	"Limits.MaxBodyBytes":          "largest body of a request, unless its route says otherwise",
	"Limits.HeaderTimeoutMS":       "longest time for a request's header to arrive",
	"Limits.MaxConnectionsPerAddr": "that one caller's address may have open at a VM",
}

// helpOf returns the description of a field.
func helpOf(t reflect.Type, f reflect.StructField) string {
	if doc := config.FieldDoc(t.Name(), f.Name); doc != "" {
		return doc
	}
	return helps[t.Name()+"."+f.Name]
}

// units are those that do not follow from the suffix of the field's name.
var units = map[string]string{
	"max_fraction":        "fraction, 0 to 1",
	"max_step_fraction":   "fraction per window",
	"budget_fraction":     "fraction of first attempts",
	"headroom_weight":     "0 to 1",
	"headroom_keep":       "fraction of slots",
	"requests_per_second": "requests/s",
	"bytes_per_second":    "bytes/s",
}

// suffixUnits are the units that the suffix of a field's name tells.
var suffixUnits = []struct{ suffix, unit string }{{"_ms", "ms"}, {"_bytes", "bytes"}}

// Lists of suggestions.
const (
	listRegions  = "regions"
	listZones    = "zones"
	listClasses  = "classes"
	listTenants  = "tenants"
	listServices = "services"
)

// suggestions tells which fields name another part of the document.
var suggestions = map[string]string{
	"Link.From": listRegions, "Link.To": listRegions,
	"ShiftCap.From": listRegions, "ShiftCap.To": listRegions, "ShiftCap.Service": listServices,
	"ClientBlock.Region": listRegions, "ClientBlock.Zone": listZones,
	"Target.Zone": listZones, "Route.Class": listClasses, "Route.Tenant": listTenants,
}

// labelOf returns the label of a field.
func labelOf(t reflect.Type, f reflect.StructField) string {
	if l, ok := labels[t.Name()+"."+f.Name]; ok {
		return l
	}
	name := jsonName(f)
	for _, s := range suffixUnits {
		name = strings.TrimSuffix(name, s.suffix)
	}
	name = strings.ReplaceAll(name, "_", " ")
	return strings.ToUpper(name[:1]) + name[1:]
}

// unitOf returns the unit of a field, empty when it has none.
func unitOf(f reflect.StructField) string {
	name := jsonName(f)
	if u, ok := units[name]; ok {
		return u
	}
	for _, s := range suffixUnits {
		if strings.HasSuffix(name, s.suffix) {
			return s.unit
		}
	}
	return ""
}

// dataList is a list of suggestions.
type dataList struct {
	ID     string
	Values []string
}

// dataLists returns the names that other parts of the document may use.
func dataLists(doc *config.Document) []dataList {
	regions := dataList{ID: listRegions}
	zones := dataList{ID: listZones}
	classes := dataList{ID: listClasses}
	tenants := dataList{ID: listTenants}
	services := dataList{ID: listServices}
	for _, r := range doc.Regions {
		regions.Values = append(regions.Values, r.Name)
		zones.Values = append(zones.Values, r.Zones...)
	}
	for _, c := range doc.Classes {
		classes.Values = append(classes.Values, c.Name)
	}
	for _, t := range doc.Tenants {
		tenants.Values = append(tenants.Values, t.Name)
	}
	for i := range doc.Services {
		services.Values = append(services.Values, doc.Services[i].Name)
	}
	return []dataList{regions, zones, classes, tenants, services}
}
