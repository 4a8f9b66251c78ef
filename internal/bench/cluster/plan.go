package cluster

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/standin/network"
)

// Loopback addresses are 127.N.group.member, N being one number for each
// cluster of this machine. The ports are below those that the system gives to
// outgoing connections, so that a restarted VM finds its own free.
const (
	firstNet = 64
	lastNet  = 250

	groupPlatform = 0
	groupVM       = 1
	groupTarget   = 10  // and up, one for each service
	groupCaller   = 200 // and up, one for each availability zone

	portPlatform  = 9100
	portCallers   = 9101
	portPeers     = 9102
	portOperators = 9103
	portTarget    = 9104

	maxMembers = 250
)

// plan hands out the addresses of one cluster.
type plan struct {
	net int
}

func (p plan) ip(group, member int) string { return fmt.Sprintf("127.%d.%d.%d", p.net, group, member) }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// reserve finds a free number for a cluster, by opening the platform's
// listener with it.
func reserve() (plan, net.Listener, error) {
	var err error
	for n := firstNet; n <= lastNet; n++ {
		p := plan{net: n}
		var listener net.Listener
		listener, err = net.Listen("tcp", hostPort(p.ip(groupPlatform, 1), portPlatform))
		if err == nil {
			return p, listener, nil
		}
	}
	return plan{}, nil, trace.Wrap(err, "no free loopback addresses for another cluster")
}

// rewrite puts the cluster's addresses into a document: those of the targets,
// and one client block for each availability zone.
func (p plan) rewrite(doc *config.Document) error {
	for i := range doc.Services {
		if len(doc.Services[i].Targets) > maxMembers {
			return trace.LimitExceeded("service %s has more than %d targets", doc.Services[i].Name, maxMembers)
		}
		for j := range doc.Services[i].Targets {
			doc.Services[i].Targets[j].Address = hostPort(p.ip(groupTarget+i, j+1), portTarget)
		}
	}
	doc.ClientBlocks = nil
	for i, z := range zonesOf(doc) {
		cidr := fmt.Sprintf("127.%d.%d.0/24", p.net, groupCaller+i)
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{CIDR: cidr, Region: z.region, Zone: z.name})
	}
	return nil
}

// zone is an availability zone with its region.
type zone struct {
	name   string
	region string
}

// callerZone is where the callers near an availability zone are: in the same
// region, but outside of the zone.
func callerZone(z zone) string { return "callers of " + z.name }

// zonesOf lists the availability zones so that neighbours in the list are of
// different regions.
func zonesOf(doc *config.Document) []zone {
	var zones []zone
	for i := 0; ; i++ {
		found := false
		for _, r := range doc.Regions {
			if i < len(r.Zones) {
				zones = append(zones, zone{r.Zones[i], r.Name})
				found = true
			}
		}
		if !found {
			return zones
		}
	}
}

// delays returns the one-way delays of a document: those of the links between
// regions, zoneDelay between availability zones of one region and to callers,
// nothing within an availability zone.
func delays(doc *config.Document, opts Options) network.Delays {
	regions := make(map[string]string)
	for _, z := range zonesOf(doc) {
		regions[z.name] = z.region
		regions[callerZone(z)] = z.region
	}
	type pair struct{ from, to string }
	links := make(map[pair]config.Millis)
	for _, l := range doc.Links {
		links[pair{l.From, l.To}] = l.OneWayMS
	}
	return func(from, to network.Host) time.Duration {
		if from.Zone == to.Zone {
			return 0
		}
		a, b := regions[from.Zone], regions[to.Zone]
		if a == "" || b == "" || a == b {
			return opts.ZoneDelay
		}
		return links[pair{a, b}].Duration()
	}
}
