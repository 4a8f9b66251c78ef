package bench

import (
	"fmt"

	"masticturn/internal/config"
)

// Names in the document of one VM and some targets in one availability zone.
const (
	localRegion  = "here"
	localService = "local"
	localPath    = "/local/item"
	localClass   = "all"
	localTargets = 4
	localSlots   = 256
)

// localDocument returns a document with one region, one availability zone and
// targets with so many slots that the path alone is the limit.
func localDocument() *config.Document {
	doc := &config.Document{
		Deployment: "local",
		Fleet:      config.Fleet{MaxVMs: 1, MaxVMsPerRegion: 1},
		Regions:    []config.Region{{Name: localRegion, Zones: []string{"here-a"}}},
		Classes:    []config.Class{{Name: localClass, Weight: 1, MaxWaitMS: 2000, TimeoutMS: 5000}},
		Services: []config.Service{{
			Name:       localService,
			PathPrefix: "/local/",
			ServiceMS:  1,
			Routes:     []config.Route{{Class: localClass}},
		}},
	}
	svc := &doc.Services[0]
	for i := range localTargets {
		svc.Targets = append(svc.Targets, config.Target{
			Name:        fmt.Sprintf("local-%d", i+1),
			Address:     fmt.Sprintf("127.0.0.1:%d", 1+i), // replaced by the cluster
			Zone:        "here-a",
			Slots:       localSlots,
			Connections: 2 * localSlots,
		})
	}
	config.SetDefaults(doc)
	return doc
}
