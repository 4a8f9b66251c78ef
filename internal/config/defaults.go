package config

import (
	"cmp"
)

// Defaults of optional fields. All daemons of a fleet must use the same defaults
// to interpret a document identically, so a default must never change once it
// has been released.
const (
	DefaultMaxVMs                       = 32
	DefaultClassWeight                  = 1
	DefaultClassMaxWait          Millis = 2_000
	DefaultClassTimeout          Millis = 10_000
	DefaultTenantWeight                 = 1
	DefaultServiceTime           Millis = 20
	DefaultShiftWindow           Millis = 1_000
	DefaultShiftStep                    = 0.02
	DefaultLookupAnswers                = 3
	DefaultLookupMaxAge          Millis = 5_000
	DefaultDrainGrace            Millis = 180_000
	DefaultTargetQuiet           Millis = 3_000
	DefaultMaxHeaderBytes               = 64 << 10
	DefaultMaxBodyBytes                 = 64 << 20
	DefaultHeaderTimeout         Millis = 10_000
	DefaultIdleTimeout           Millis = 30_000
	DefaultMaxConnectionsPerAddr        = 256
	DefaultReplayBodyBytes              = 64 << 10
	DefaultRecordedAnswerBytes          = 256 << 10
	DefaultRecordedAnswersBytes         = 16 << 20
	DefaultRecordedAnswers       Millis = 600_000
	DefaultMaxAttempts                  = 2
	DefaultBudgetBurst                  = 10
	DefaultBackoff               Millis = 25
	DefaultStale                 Millis = 2_000
	DefaultProbe                 Millis = 500
	DefaultCold                  Millis = 10_000
)

// SetDefaults fills in optional fields that are zero, except those for which zero
// is a valid setting.
func SetDefaults(doc *Document) {
	setFleetDefaults(&doc.Fleet)
	for i := range doc.Classes {
		c := &doc.Classes[i]
		setDefault(&c.Weight, DefaultClassWeight)
		setDefault(&c.MaxWaitMS, DefaultClassMaxWait)
		setDefault(&c.TimeoutMS, DefaultClassTimeout)
	}
	for i := range doc.Tenants {
		setDefault(&doc.Tenants[i].Weight, DefaultTenantWeight)
	}
	for i := range doc.Services {
		setDefault(&doc.Services[i].ServiceMS, DefaultServiceTime)
	}
	for i := range doc.ShiftCaps {
		setDefault(&doc.ShiftCaps[i].WindowMS, DefaultShiftWindow)
		setDefault(&doc.ShiftCaps[i].MaxStepFraction, DefaultShiftStep)
	}
	setDefault(&doc.Lookup.Answers, DefaultLookupAnswers)
	setDefault(&doc.Lookup.MaxAgeMS, DefaultLookupMaxAge)
	setDefault(&doc.Drain.GraceMS, DefaultDrainGrace)
	setDefault(&doc.Drain.TargetQuietMS, DefaultTargetQuiet)
	setLimitsDefaults(&doc.Limits)
	setDefault(&doc.Retry.MaxAttempts, DefaultMaxAttempts)
	setDefault(&doc.Retry.BudgetBurst, DefaultBudgetBurst)
	setDefault(&doc.Retry.BackoffMS, DefaultBackoff)
	setDefault(&doc.Steering.StaleMS, DefaultStale)
	setDefault(&doc.Steering.ProbeMS, DefaultProbe)
	setDefault(&doc.Steering.ColdMS, DefaultCold)
}

func setFleetDefaults(f *Fleet) {
	setDefault(&f.MaxVMs, DefaultMaxVMs)
	setDefault(&f.MaxVMsPerRegion, f.MaxVMs)
}

func setLimitsDefaults(l *Limits) {
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.HeaderTimeoutMS, DefaultHeaderTimeout)
	setDefault(&l.IdleTimeoutMS, DefaultIdleTimeout)
	setDefault(&l.MaxConnectionsPerAddr, DefaultMaxConnectionsPerAddr)
	setDefault(&l.ReplayBodyBytes, DefaultReplayBodyBytes)
	setDefault(&l.RecordedAnswerBytes, DefaultRecordedAnswerBytes)
	setDefault(&l.RecordedAnswersBytes, DefaultRecordedAnswersBytes)
	setDefault(&l.RecordedAnswersMS, DefaultRecordedAnswers)
}

func setDefault[T comparable](field *T, value T) {
	*field = cmp.Or(*field, value)
}

// Effective returns a copy of the document with all defaults filled in. The
// original is not modified.
func Effective(doc *Document) (*Document, error) {
	effective, err := Clone(doc)
	if err != nil {
		return nil, err
	}
	SetDefaults(effective)
	return effective, nil
}

// Clone returns a deep copy of the document.
func Clone(doc *Document) (*Document, error) {
	raw, err := Encode(doc)
	if err != nil {
		return nil, err
	}
	return decode(raw)
}
