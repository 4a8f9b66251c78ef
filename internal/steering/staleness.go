package steering

import "time"

// Input is something that decisions are based on and that can grow stale.
type Input uint8

// The inputs of decisions.
const (
	InputTargetHealth Input = iota // probes and reports of a target's health
	InputTargetLoad                // a target's reported load
	InputMembers                   // the view of live daemons
	InputCredit                    // credits granted by another region
	InputDocument                  // the document, seen to be current at store or peers
)

// Inputs lists all inputs.
func Inputs() []Input {
	return []Input{InputTargetHealth, InputTargetLoad, InputMembers, InputCredit, InputDocument}
}

// String returns the input's name in tables.
func (i Input) String() string {
	return [...]string{"target health", "target load", "members", "credit", "document"}[i]
}

// AgeBand classes the age of an input.
type AgeBand uint8

// The bands. Stale begins at the document's steering.stale_ms, old at
// OldFactor times that.
const (
	AgeFresh AgeBand = iota
	AgeStale
	AgeOld
	AgeNever // nothing has ever arrived
)

// OldFactor times stale_ms is the age from which an input is old.
const OldFactor = 5

// String returns the band's name in tables.
func (b AgeBand) String() string { return [...]string{"fresh", "stale", "old", "never"}[b] }

// AgeBands lists all bands.
func AgeBands() []AgeBand { return []AgeBand{AgeFresh, AgeStale, AgeOld, AgeNever} }

// BandOf classes an age.
func BandOf(age, stale time.Duration) AgeBand {
	switch {
	case age <= stale:
		return AgeFresh
	case age <= OldFactor*stale:
		return AgeStale
	default:
		return AgeOld
	}
}

// Allowance is what an input of some age may be used for.
type Allowance struct {
	Use       string // how the value is used, for the operators' page
	Believe   bool   // the value decides; otherwise own permits and outcomes do
	KeepShift bool   // shifts that are under way may go on
	GrowShift bool   // shifts may grow
	Grant     bool   // slots that depend on it may be granted to other regions
}

var allowances = map[Input]map[AgeBand]Allowance{
	InputTargetHealth: {
		AgeFresh: {Use: "decides", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeStale: {Use: "last value kept; own outcomes eject", Believe: true, KeepShift: true},
		AgeOld:   {Use: "own outcomes only; a target last seen down gets one trial at a time", KeepShift: true},
		AgeNever: {Use: "all slots of the document, ejected by own outcomes"},
	},
	InputTargetLoad: {
		AgeFresh: {Use: "the larger of it and own permits", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeStale: {Use: "own permits only", KeepShift: true},
		AgeOld:   {Use: "own permits only", KeepShift: true},
		AgeNever: {Use: "own permits only"},
	},
	InputMembers: {
		AgeFresh: {Use: "chooses brokers", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeStale: {Use: "last view kept; slots in proportion to the members heard", Believe: true, KeepShift: true},
		AgeOld:   {Use: "last view kept; slots in proportion to the members heard", Believe: true},
		AgeNever: {Use: "this daemon alone; not ready"},
	},
	InputCredit: {
		AgeFresh: {Use: "used until it expires", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeStale: {Use: "expired: nothing is sent under it"},
		AgeOld:   {Use: "expired: nothing is sent under it"},
		AgeNever: {Use: "no credit: no shift"},
	},
	InputDocument: {
		AgeFresh: {Use: "in force", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeStale: {Use: "stays in force", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeOld:   {Use: "stays in force", Believe: true, KeepShift: true, GrowShift: true, Grant: true},
		AgeNever: {Use: "not ready"},
	},
}

// Allowed returns what an input of that age may be used for.
//
// Property: no allowance gains anything as its input ages.
func Allowed(i Input, b AgeBand) Allowance { return allowances[i][b] }
