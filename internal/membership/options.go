package membership

import "time"

// Options are the timings and limits of the protocol, equal on all daemons. Zero values mean the
// defaults.
type Options struct {
	HeartbeatInterval time.Duration // between heartbeats to a neighbor in the region
	RelayInterval     time.Duration // between heartbeats of relays to other regions
	RegionInterval    time.Duration // between the notes of a region
	TickInterval      time.Duration // between checks of the timers
	ProbeAfter        time.Duration // without a neighbor's heartbeat it is probed indirectly
	SuspectAfter      time.Duration // ... it is suspect
	GoneAfter         time.Duration // ... it is gone
	RegionAfter       time.Duration // without a note of another region its members are suspect
	ForgetAfter       time.Duration // ... they are removed
	TombstoneAfter    time.Duration // the incarnation of a gone member is kept so long
	PauseAfter        time.Duration // gap between ticks that counts as a pause
	JoinInterval      time.Duration // between attempts to join
	JoinPatience      time.Duration // without an answer a daemon starts alone after it
	MergeInterval     time.Duration // between calls of candidates outside the view
	MeshSize          int           // members up to which a region is a full mesh
	MaxRecords        int           // limit of records in one heartbeat
}

// Defaults of Options.
const (
	defaultHeartbeatInterval = 400 * time.Millisecond
	defaultRelayInterval     = time.Second
	defaultRegionInterval    = 2 * time.Second
	defaultTickInterval      = 100 * time.Millisecond
	defaultProbeAfter        = 700 * time.Millisecond
	defaultSuspectAfter      = time.Second
	defaultGoneAfter         = 3 * time.Second
	defaultRegionAfter       = 7 * time.Second
	defaultForgetAfter       = 10 * time.Minute
	defaultTombstoneAfter    = 15 * time.Minute
	defaultPauseAfter        = time.Second
	defaultJoinInterval      = 500 * time.Millisecond
	defaultJoinPatience      = 2 * time.Second
	defaultMergeInterval     = 10 * time.Second
	defaultMeshSize          = 10
	defaultMaxRecords        = 500
)

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// WithDefaults returns the options with defaults in place of zero values.
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
	orDefault(&o.RegionAfter, defaultRegionAfter)
	orDefault(&o.ForgetAfter, defaultForgetAfter)
	orDefault(&o.TombstoneAfter, defaultTombstoneAfter)
	orDefault(&o.PauseAfter, defaultPauseAfter)
	orDefault(&o.JoinInterval, defaultJoinInterval)
	orDefault(&o.JoinPatience, defaultJoinPatience)
	orDefault(&o.MergeInterval, defaultMergeInterval)
	orDefault(&o.MeshSize, defaultMeshSize)
	orDefault(&o.MaxRecords, defaultMaxRecords)
}
