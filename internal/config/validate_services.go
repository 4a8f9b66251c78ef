package config

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
)

// maxNamesShown is the maximum number of names listed in a fault.
const maxNamesShown = 20

func joinNames(names []string) string {
	if len(names) > maxNamesShown {
		names = append(slices.Clip(names[:maxNamesShown]), "…")
	}
	return strings.Join(names, ", ")
}

// serviceNames holds the names and addresses that must be unique across all
// services, each with the path where it was first used.
type serviceNames struct {
	services  map[string]string
	targets   map[string]string
	addresses map[string]string
}

func (v *validator) checkServices() {
	v.checkCount("services", len(v.doc.Services), 1, maxServices)
	names := &serviceNames{
		services:  make(map[string]string),
		targets:   make(map[string]string),
		addresses: make(map[string]string),
	}
	for i := range v.doc.Services {
		v.checkService(elementPath("services", i), &v.doc.Services[i], names)
	}
	v.checkPrefixes()
}

func (v *validator) checkService(path string, s *Service, names *serviceNames) {
	v.checkName(path+".name", s.Name)
	v.checkUnique(names.services, path+".name", s.Name)
	v.services[s.Name] = s
	if !strings.HasPrefix(s.PathPrefix, "/") || !strings.HasSuffix(s.PathPrefix, "/") {
		v.report(path+".path_prefix", s.PathPrefix, "a path that begins and ends with a slash")
	}
	checkRange(v, path+".service_ms", s.ServiceMS, 1, maxTimeout)
	v.checkCount(path+".routes", len(s.Routes), 1, maxServices)
	for i := range s.Routes {
		v.checkRoute(elementPath(path+".routes", i), &s.Routes[i])
	}
	v.checkRouteOrder(path, s.Routes)
	if len(s.Targets) == 0 {
		v.report(path+".targets", "no target", "1 to %d entries; a service without targets cannot answer requests", maxTargets)
	}
	for i := range s.Targets {
		v.checkTarget(elementPath(path+".targets", i), &s.Targets[i], names)
	}
}

// checkPrefixes reports services that are unreachable because an earlier service
// matches all requests under their prefix.
func (v *validator) checkPrefixes() {
	for i, s := range v.doc.Services {
		for j, earlier := range v.doc.Services[:i] {
			if strings.HasPrefix(s.PathPrefix, earlier.PathPrefix) && matchesAll(earlier.Routes) {
				v.report(elementPath("services", i)+".path_prefix", s.PathPrefix,
					"a prefix that no earlier service covers; %s covers %q", elementPath("services", j), earlier.PathPrefix)
			}
		}
	}
}

func matchesAll(routes []Route) bool {
	return slices.ContainsFunc(routes, func(r Route) bool { return len(r.Methods) == 0 && r.PathPrefix == "" })
}

func (v *validator) checkRoute(path string, r *Route) {
	for i, method := range r.Methods {
		if !slices.Contains(knownMethods, method) {
			v.report(elementPath(path+".methods", i), method, "one of %s", strings.Join(knownMethods, ", "))
		}
	}
	if strings.HasPrefix(r.PathPrefix, "/") {
		v.report(path+".path_prefix", r.PathPrefix, "a path relative to the service's prefix, without a leading slash")
	}
	class, ok := v.classes[r.Class]
	if !ok {
		v.report(path+".class", r.Class, "a class of the document: %s", quotedKeys(v.classes))
	}
	if r.Tenant != "" && !v.tenants[r.Tenant] {
		v.report(path+".tenant", r.Tenant, "a tenant of the document: %s", quotedNames(v.tenants))
	}
	if r.Repeat != RepeatByMethod && r.Repeat != RepeatAllowed && r.Repeat != RepeatNever {
		v.report(path+".repeat", r.Repeat, `"", "allowed" or "never"`)
	}
	checkRange(v, path+".timeout_ms", r.TimeoutMS, 0, maxTimeout)
	if ok && r.TimeoutMS > 0 && r.TimeoutMS <= class.MaxWaitMS {
		v.report(path+".timeout_ms", r.TimeoutMS, "0, or more than max_wait_ms (%d) of class %q", class.MaxWaitMS, r.Class)
	}
	checkRange(v, path+".max_body_bytes", r.MaxBodyBytes, 0, maxBytes)
}

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkRouteOrder reports the first route that is unreachable because an earlier
// one matches all requests.
func (v *validator) checkRouteOrder(path string, routes []Route) {
	for i := 1; i < len(routes); i++ {
		if matchesAll(routes[:i]) {
			v.report(elementPath(path+".routes", i), routes[i].PathPrefix, "no route after one that matches all requests")
			return
		}
	}
}

func (v *validator) checkTarget(path string, t *Target, names *serviceNames) {
	v.checkName(path+".name", t.Name)
	v.checkUnique(names.targets, path+".name", t.Name)
	address, err := netip.ParseAddrPort(t.Address)
	if err != nil || address.Port() == 0 {
		v.report(path+".address", t.Address, "an IP address with a port, such as \"192.0.2.7:8080\"")
	} else {
		v.checkUnique(names.addresses, path+".address", t.Address)
	}
	if v.regionOfZone[t.Zone] == "" {
		v.report(path+".zone", t.Zone, "an availability zone of the document: %s", quotedKeys(v.regionOfZone))
	}
	checkRange(v, path+".slots", t.Slots, 1, maxSlots)
	checkRange(v, path+".connections", t.Connections, 1, maxConnections)
	if t.Connections < t.Slots {
		v.report(path+".connections", t.Connections, "at least slots (%d); each running request uses a connection", t.Slots)
	}
}

func quotedKeys[V any](m map[string]V) string {
	set := make(map[string]bool, len(m))
	for name := range m {
		set[name] = true
	}
	return quotedNames(set)
}
