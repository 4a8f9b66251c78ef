package config

import "strings"

// Limits on the hosts of a document.
const (
	maxHosts = 1_000
	maxParts = 32
)

func (v *validator) checkHosts() {
	v.checkCount("hosts", len(v.doc.Hosts), 0, maxHosts)
	hosts, rules := make(map[string]string), make(map[string]string)
	for i := range v.doc.Hosts {
		h := &v.doc.Hosts[i]
		path := elementPath("hosts", i)
		v.checkName(path+".name", h.Name)
		v.checkUnique(hosts, path+".name", strings.ToLower(h.Name))
		v.checkCount(path+".rules", len(h.Rules), 1, maxServices)
		prefixes := make(map[string]string)
		for j := range h.Rules {
			rule := elementPath(path+".rules", j)
			v.checkUnique(rules, rule+".name", h.Rules[j].Name)
			v.checkUnique(prefixes, rule+".path_prefix", h.Rules[j].PathPrefix)
			v.checkRule(rule, &h.Rules[j])
		}
	}
}

func (v *validator) checkRule(path string, r *Rule) {
	v.checkName(path+".name", r.Name)
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		v.report(path+".path_prefix", r.PathPrefix, "a path that begins and ends with a slash")
	}
	if v.classes[r.Class] == nil {
		v.report(path+".class", r.Class, "the name of a class")
	}
	checkRange(v, path+".timeout_ms", r.TimeoutMS, 0, maxTimeout)
	checkRange(v, path+".objective_ms", r.ObjectiveMS, 0, maxTimeout)
	checkRange(v, path+".max_attempts", r.MaxAttempts, 0, maxAttempts)
	for i, region := range r.AllowedRegions {
		if !v.regions[region] {
			v.report(elementPath(path+".allowed_regions", i), region, "the name of a region")
		}
	}
	v.checkParts(path+".parts", r.Parts)
}

func (v *validator) checkParts(path string, parts []Part) {
	v.checkCount(path, len(parts), 1, maxParts)
	services := make(map[string]string)
	for i, p := range parts {
		part := elementPath(path, i)
		v.checkUnique(services, part+".service", p.Service)
		if v.services[p.Service] == nil {
			v.report(part+".service", p.Service, "the name of a service")
		}
		checkRange(v, part+".weight", p.Weight, 1, maxWeight)
	}
}
