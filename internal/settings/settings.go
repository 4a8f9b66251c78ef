// Package settings reads the settings of one process: its addresses,
// availability zone, listeners, platform endpoint and keys, from JSON with
// comments. What is the same for the whole fleet is in package config.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/tailscale/hujson"

	"masticturn/internal/telemetry"
)

// Settings is the settings file of one process.
type Settings struct {
	VM       VM       `json:"vm"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	Peers    Peers    `json:"peers"`
	Operator Operator `json:"operator"`
	Log      Log      `json:"log"`
	// Places maps each availability zone to its region, where the document
	// does not.
	Places map[string]string `json:"places,omitempty"`
	Bounds Bounds            `json:"bounds,omitzero"`
}

// Bounds are what the surroundings promise and demand of the whole fleet,
// where the document does not say so. Zero means that there is no such bound.
type Bounds struct {
	StopGrace      time.Duration `json:"stop_grace"`      // from SIGTERM to SIGKILL
	TargetDrain    time.Duration `json:"target_drain"`    // within this time a leaving target gets no new work
	ConfigInForce  time.Duration `json:"config_in_force"` // within this time a document is in force everywhere
	ZoneEvacuation time.Duration `json:"zone_evacuation"` // within this time an evacuated zone gets no new work
	LookupMaxAge   time.Duration `json:"lookup_max_age"`  // longest a caller keeps a look-up as told
	RetryRatio     float64       `json:"retry_ratio"`     // retries for each first attempt, in the window
	RetrySlack     float64       `json:"retry_slack"`     // retries beyond the ratio, in the window, over all VMs
	ColdFactor     float64       `json:"cold_factor"`     // of a cold target's rate that it may get in one second
	ColdSlack      float64       `json:"cold_slack"`      // requests beyond that, over all VMs
	KeyRevocation  time.Duration `json:"key_revocation"`  // within this time a removed key is refused by every VM, whether it reaches the platform or not
	LimitWindow    time.Duration `json:"limit_window"`    // in which customers' rate limits are counted
	LimitOverage   float64       `json:"limit_overage"`   // share of a limit that may be exceeded
	LimitSlack     float64       `json:"limit_slack"`     // requests that may be exceeded, in the window, over all VMs
}

// VM names this VM and its place.
type VM struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`   // availability zone
	Region string `json:"region"` // region of the zone
	// Cores is the processor time of the VM in cores; 0: not known.
	Cores float64 `json:"cores,omitempty"`
}

// Listen holds the listeners' addresses, host:port each.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Ready     string `json:"ready,omitempty"`  // readiness alone; empty: with the operators' only
	Lookup    string `json:"lookup,omitempty"` // look-ups by place; empty: with the callers' only
}

// Platform is the endpoint of the platform's object API.
type Platform struct {
	URL            string  `json:"url"`
	TimeoutMS      int     `json:"timeout_ms"`       // of one call; default 1000
	WatchMS        int     `json:"watch_ms"`         // how long the platform may hold a watch; default 1000
	CallsPerSecond float64 `json:"calls_per_second"` // budget of this process; default 20
}

// Peers tells how to find and trust the other daemons.
type Peers struct {
	Seeds []string `json:"seeds"` // host:port of some peer listeners, besides the platform's list
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	TLS        TLS  `json:"tls"`
}

// TLS names key files; empty names mean plain connections.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Enabled reports whether keys are set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Operator guards the operators' listener.
type Operator struct {
	TokenFile string `json:"token_file"` // file with the bearer token; empty: only health and metrics are served
	TLS       TLS    `json:"tls"`
}

// Log sets the log.
type Log struct {
	Format telemetry.Format `json:"format"` // json or text
	Level  string           `json:"level"`  // error, warning, info, debug
}

// Defaults of optional fields.
const (
	defaultTimeoutMS      = 1000
	defaultCallsPerSecond = 20
	defaultLogLevel       = "info"
)

// Load reads and checks a settings file. The error names the file and, for
// each fault, the field and what is allowed.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, trace.BadParameter("settings %s: %v", file, err)
	}
	return s, nil
}

// Parse reads and checks settings. Unknown fields are refused.
func Parse(raw []byte) (*Settings, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, explain(err, std, dec.InputOffset())
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Differences names the sections in which two settings differ.
func (s *Settings) Differences(other *Settings) []string {
	names := []string{}
	a, b := reflect.ValueOf(*s), reflect.ValueOf(*other)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}

// Check fills in defaults and reports every fault at once.
func (s *Settings) Check() error {
	s.setDefaults()
	return s.validate()
}

// explain turns a decoder's error into one with the line, the field and what
// is allowed. hujson keeps offsets, so that lines are those of the file.
func explain(err error, raw []byte, offset int64) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return trace.BadParameter("line %d: field %s: got a %s, allowed is a %s",
			lineOf(raw, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name := strings.Trim(field, `"`)
		if i := bytes.Index(raw, []byte(field)); i >= 0 {
			offset = int64(i)
		}
		return trace.BadParameter("line %d: unknown field %s; allowed are: %s",
			lineOf(raw, offset), name, strings.Join(fieldNames(reflect.TypeFor[Settings](), ""), ", "))
	}
	return trace.BadParameter("line %d: %v", lineOf(raw, offset), err)
}

func lineOf(raw []byte, offset int64) int {
	if offset > int64(len(raw)) {
		offset = int64(len(raw))
	}
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// fieldNames lists the dotted names of all fields of a settings struct.
func fieldNames(t reflect.Type, prefix string) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + f.Tag.Get("json")
		if f.Type.Kind() == reflect.Struct {
			names = append(names, fieldNames(f.Type, name+".")...)
			continue
		}
		names = append(names, name)
	}
	return names
}

func (s *Settings) setDefaults() {
	if s.Platform.TimeoutMS == 0 {
		s.Platform.TimeoutMS = defaultTimeoutMS
	}
	if s.Platform.CallsPerSecond == 0 {
		s.Platform.CallsPerSecond = defaultCallsPerSecond
	}
	if s.Log.Format == "" {
		s.Log.Format = telemetry.FormatText
	}
	if s.Log.Level == "" {
		s.Log.Level = defaultLogLevel
	}
}

// validate reports every fault at once.
func (s *Settings) validate() error {
	var faults []string
	fault := func(field, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("field %s: %s", field, fmt.Sprintf(format, args...)))
	}
	required := []struct{ field, value string }{
		{"vm.name", s.VM.Name},
		{"vm.zone", s.VM.Zone},
		{"vm.region", s.VM.Region},
		{"platform.url", s.Platform.URL},
	}
	for _, r := range required {
		if r.value == "" {
			fault(r.field, "is empty; a value is required")
		}
	}
	listeners := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	}
	for _, l := range listeners {
		if _, _, err := net.SplitHostPort(l.value); err != nil {
			fault(l.field, "got %q; allowed is host:port", l.value)
		}
	}
	if s.Platform.TimeoutMS < 0 || s.Platform.CallsPerSecond < 0 {
		fault("platform", "timeout_ms and calls_per_second must be above 0")
	}
	if s.Log.Format != telemetry.FormatJSON && s.Log.Format != telemetry.FormatText {
		fault("log.format", "got %q; allowed are json, text", s.Log.Format)
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		fault("log.level", "got %q; allowed are error, warning, info, debug", s.Log.Level)
	}
	for _, t := range []struct {
		field string
		tls   TLS
	}{{"peers.tls", s.Peers.TLS}, {"operator.tls", s.Operator.TLS}} {
		if (t.tls.CertFile == "") != (t.tls.KeyFile == "") {
			fault(t.field, "cert_file and key_file must be set together")
		}
	}
	if len(faults) > 0 {
		return trace.BadParameter("%s", strings.Join(faults, "; "))
	}
	return nil
}
