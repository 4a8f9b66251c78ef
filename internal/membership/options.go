package membership

import "time"

// Options are the timings and bounds of the heartbeat protocol. All daemons of
// a fleet use the same. Zero values mean the defaults.
type Options struct {
	HeartbeatInterval time.Duration // between heartbeats to a neighbor in the region
	RelayInterval     time.Duration // between heartbeats of relays to other regions
	RegionInterval    time.Duration // between the notes of a region
	TickInterval      time.Duration // between looks at the timers
	AskAfter          time.Duration // without a neighbor's heartbeat, others are asked about it
	SuspectAfter      time.Duration // ... it is suspect
	GoneAfter         time.Duration // ... it is gone
	RegionAfter       time.Duration // without news of another region, its members are suspect
	ForgetAfter       time.Duration // ... they are taken out of the view
	TombstoneAfter    time.Duration // how long the incarnation of a gone member is kept
	PauseAfter        time.Duration // a gap between ticks that counts as a pause of this process
	JoinInterval      time.Duration // between attempts to join
	JoinPatience      time.Duration // without any answer, a daemon starts alone after this time
	MergeInterval     time.Duration // between attempts to reach hinted daemons that are not in the view
	MeshSize          int           // a region of up to this many members is a full mesh
	MaxRecords        int           // records in one heartbeat
}

// Defaults of Options.
const (
	defaultHeartbeatInterval = 400 * time.Millisecond
	defaultRelayInterval     = time.Second
	defaultRegionInterval    = 2 * time.Second
	defaultTickInterval      = 100 * time.Millisecond
	defaultAskAfter          = 700 * time.Millisecond
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
	orDefault(&o.AskAfter, defaultAskAfter)
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
