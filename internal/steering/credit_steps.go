package steering

import "time"

// GranterStep is a step of a granter.
type GranterStep uint8

// The steps of a granter.
const (
	GranterRecovering GranterStep = iota // a predecessor's grants may be in use; nothing is granted
	GranterIdle                          // nothing is granted
	GranterGranting                      // grants are out, or requests under them may run
)

// String returns the step's name.
func (s GranterStep) String() string { return [...]string{"recovering", "idle", "granting"}[s] }

// GranterSteps lists the steps of a granter.
func GranterSteps() []GranterStep {
	return []GranterStep{GranterRecovering, GranterIdle, GranterGranting}
}

// Step returns the granter's present step.
func (g *Granter) Step(now time.Time) GranterStep {
	switch {
	case g.Recovering(now):
		return GranterRecovering
	case len(g.held) > 0:
		return GranterGranting
	default:
		return GranterIdle
	}
}

// GranteeStep is a step of a grantee.
type GranteeStep uint8

// The steps of a grantee.
const (
	GranteeNone    GranteeStep = iota // nothing was ever granted
	GranteeActing                     // there is a grant to act on
	GranteeExpired                    // the last grant has expired
)

// String returns the step's name.
func (s GranteeStep) String() string { return [...]string{"none", "acting", "expired"}[s] }

// GranteeSteps lists the steps of a grantee.
func GranteeSteps() []GranteeStep {
	return []GranteeStep{GranteeNone, GranteeActing, GranteeExpired}
}

// Step returns the grantee's present step.
func (g *Grantee) Step(now time.Time) GranteeStep {
	switch {
	case g.acting == 0:
		return GranteeNone
	case g.Valid(now):
		return GranteeActing
	default:
		return GranteeExpired
	}
}
