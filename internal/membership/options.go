package membership

import "time"

// Options holds the timings and limits of the protocol. They must be equal on all daemons. Zero
// values are replaced by defaults.
type Options struct {
	HeartbeatInterval  time.Duration // between heartbeats to a neighbor in the region
	RelayInterval      time.Duration // between heartbeats of relays to other regions
	RegionInterval     time.Duration // between summaries of a region
	TickInterval       time.Duration // between checks of the timers
	ProbeAfter         time.Duration // silence of a neighbor after which it is probed indirectly
	SuspectAfter       time.Duration // silence of a neighbor after which it is suspect
	GoneAfter          time.Duration // silence of a neighbor after which it is gone
	RegionSuspectAfter time.Duration // time without a summary after which another region's members are suspect
	ForgetAfter        time.Duration // time without a summary after which another region's members are removed
	TombstoneTTL       time.Duration // retention of the record of a gone member
	PauseThreshold     time.Duration // gap between ticks that counts as a pause
	JoinInterval       time.Duration // between attempts to join
	JoinTimeout        time.Duration // time without a response after which a daemon starts alone
	MergeInterval      time.Duration // between calls to candidates outside the view
	MeshSize           int           // maximum size of a region whose members form a full mesh
	MaxRecords         int           // maximum number of changes in one heartbeat
}

// Defaults of Options.
const (
	defaultHeartbeatInterval  = 400 * time.Millisecond
	defaultRelayInterval      = time.Second
	defaultRegionInterval     = 2 * time.Second
	defaultTickInterval       = 100 * time.Millisecond
	defaultProbeAfter         = 700 * time.Millisecond
	defaultSuspectAfter       = time.Second
	defaultGoneAfter          = 3 * time.Second
	defaultRegionSuspectAfter = 7 * time.Second
	defaultForgetAfter        = 10 * time.Minute
	defaultTombstoneTTL       = 15 * time.Minute
	defaultPauseThreshold     = time.Second
	defaultJoinInterval       = 500 * time.Millisecond
	defaultJoinTimeout        = 2 * time.Second
	defaultMergeInterval      = 10 * time.Second
	defaultMeshSize           = 10
	defaultMaxRecords         = 500
)

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// WithDefaults returns a copy of the options in which defaults replace zero values.
func (o Options) WithDefaults() Options {
	o.setDefaults()
	return o
}

func (o *Options) setDefaults() {
	orDefault(&o.HeartbeatInterval, defaultHeartbeatInterval)
	orDefault(&o.RelayInterval, defaultRelayInterval)
	orDefault(&o.RegionInterval, defaultRegionInterval)
	orDefault(&o.TickInterval, defaultTickInterval)
	orDefault(&o.ProbeAfter, defaultProbeAfter)
	orDefault(&o.SuspectAfter, defaultSuspectAfter)
	orDefault(&o.GoneAfter, defaultGoneAfter)
	orDefault(&o.RegionSuspectAfter, defaultRegionSuspectAfter)
	orDefault(&o.ForgetAfter, defaultForgetAfter)
	orDefault(&o.TombstoneTTL, defaultTombstoneTTL)
	orDefault(&o.PauseThreshold, defaultPauseThreshold)
	orDefault(&o.JoinInterval, defaultJoinInterval)
	orDefault(&o.JoinTimeout, defaultJoinTimeout)
	orDefault(&o.MergeInterval, defaultMergeInterval)
	orDefault(&o.MeshSize, defaultMeshSize)
	orDefault(&o.MaxRecords, defaultMaxRecords)
}
