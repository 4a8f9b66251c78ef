// Package settings reads the settings of one process from JSON with comments:
// its addresses, availability zone, listeners, platform endpoint and keys.
// Configuration shared by the whole fleet is in package config.
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
	// RegionByZone maps each availability zone to its region, for deployments whose
	// configuration document does not list them.
	RegionByZone map[string]string `json:"places,omitempty"`
	Bounds       Bounds            `json:"bounds,omitzero"`
	Overload     Overload          `json:"overload,omitzero"`
	Targets      Targets           `json:"targets,omitzero"`
}

// Targets limits what targets may send.
type Targets struct {
	// MaxHeadBytes is the maximum size of the head of a target's response, with the interim responses before it;
	// default 64 KiB. A longer one ends the request and its connection.
	MaxHeadBytes int64 `json:"max_head_bytes,omitempty"`
}

// Overload enables what VMs and regions decide together while a service is short of capacity.
type Overload struct {
	// Admission admits requests by priority and by fair shares of customers over the VMs of a region. Which
	// services have several priorities or customers follows from the document.
	Admission bool `json:"admission,omitempty"`
	// Speeds lets VMs share how slow targets are, and moves objects away from those that stay slow.
	Speeds bool `json:"speeds,omitempty"`
	// Regions lets regions that are short of capacity use that of others.
	Regions bool `json:"regions,omitempty"`
	// Returns spreads the returns of refused callers, and serves returning callers first.
	Returns bool `json:"returns,omitempty"`
}

// Bounds are the guarantees and requirements that the environment sets for the
// whole fleet, for deployments whose configuration document does not contain
// them. Zero means no bound.
type Bounds struct {
	StopGrace      time.Duration `json:"stop_grace"`      // time from SIGTERM to SIGKILL
	TargetDrain    time.Duration `json:"target_drain"`    // maximum time until a leaving target receives no new requests
	ConfigInForce  time.Duration `json:"config_in_force"` // maximum time until all VMs have applied a new document
	ZoneEvacuation time.Duration `json:"zone_evacuation"` // maximum time until an evacuated availability zone receives no new requests
	LookupMaxAge   time.Duration `json:"lookup_max_age"`  // longest time for which callers are told to cache a look-up
	RetryRatio     float64       `json:"retry_ratio"`     // maximum retries per first attempt within the window
	RetrySlack     float64       `json:"retry_slack"`     // retries allowed beyond the ratio within the window, summed over all VMs
	ColdFactor     float64       `json:"cold_factor"`     // multiple of a cold target's rate that it may receive in one second
	ColdSlack      float64       `json:"cold_slack"`      // requests allowed beyond that, summed over all VMs
	KeyRevocation  time.Duration `json:"key_revocation"`  // maximum time until every VM rejects a removed key, also VMs that cannot reach the platform
	LimitWindow    time.Duration `json:"limit_window"`    // window over which customers' rate limits are counted
	LimitOverage   float64       `json:"limit_overage"`   // fraction by which a limit may be exceeded
	LimitSlack     float64       `json:"limit_slack"`     // requests allowed beyond that within the window, summed over all VMs
}

// VM identifies this VM and its location.
type VM struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`   // availability zone
	Region string `json:"region"` // region of the availability zone
	// Cores is the CPU capacity available to the VM, in cores; 0: unknown.
	Cores float64 `json:"cores,omitempty"`
	// MemoryBytes is the memory available to the process; 0: unknown.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
}

// Listen holds the listen addresses, each as host:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Ready     string `json:"ready,omitempty"`  // readiness only; empty: served by the operators' listener only
	Lookup    string `json:"lookup,omitempty"` // look-ups only; empty: served by the callers' listener only
}

// Platform is the endpoint of the platform's object API.
type Platform struct {
	URL            string  `json:"url"`
	TimeoutMS      int     `json:"timeout_ms"`       // timeout of one call; default 1000
	WatchMS        int     `json:"watch_ms"`         // longest time for which the platform may hold a watch call; default 1000
	CallsPerSecond float64 `json:"calls_per_second"` // call budget of this process; default 20
}

// Peers configures how other daemons are found and authenticated.
type Peers struct {
	Seeds []string `json:"seeds"` // host:port of some peer listeners, in addition to the platform's list
	// FirstStart states that the whole fleet is starting for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	TLS        TLS  `json:"tls"`
}

// TLS holds the paths of certificate and key files; if they are empty, connections are not encrypted.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	CAFile   string `json:"ca_file"`
}

// Enabled reports whether a certificate is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Operator configures authentication of the operators' listener.
type Operator struct {
	TokenFile string `json:"token_file"` // file that contains the bearer token; empty: only health and metrics are served
	TLS       TLS    `json:"tls"`
}

// Log configures logging.
type Log struct {
	Format telemetry.Format `json:"format"` // json or text
	Level  string           `json:"level"`  // error, warning, info, debug
}

// Defaults of optional fields.
const (
	defaultTimeoutMS      = 1000
	defaultCallsPerSecond = 20
	defaultLogLevel       = "info"
	// DefaultMaxHeadBytes is the default of Targets.MaxHeadBytes, several times the limit of common servers.
	DefaultMaxHeadBytes = 64 << 10
	// minMaxHeadBytes is the smallest limit that leaves room for the headers of usual responses.
	minMaxHeadBytes = 4 << 10
)

// Load reads and validates a settings file. The error names the file and, for
// each problem, the field and the allowed values.
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

// Parse reads and validates settings. It rejects unknown fields.
func Parse(raw []byte) (*Settings, error) {
	std, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, describeDecodeError(err, std, dec.InputOffset())
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// ChangedSections returns the JSON names of the sections in which s and other differ.
func (s *Settings) ChangedSections(other *Settings) []string {
	names := []string{}
	a, b := reflect.ValueOf(*s), reflect.ValueOf(*other)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			names = append(names, a.Type().Field(i).Tag.Get("json"))
		}
	}
	return names
}

// Check sets defaults and validates the settings. The error lists all problems.
func (s *Settings) Check() error {
	s.setDefaults()
	return s.validate()
}

// describeDecodeError converts a decoder error to one that states the line, the
// field and the allowed values. hujson preserves offsets, so the lines are those
// of the file.
func describeDecodeError(err error, raw []byte, offset int64) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return trace.BadParameter("line %d: field %s: got a %s; allowed is a %s",
			lineAt(raw, typeErr.Offset), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name := strings.Trim(field, `"`)
		if i := bytes.Index(raw, []byte(field)); i >= 0 {
			offset = int64(i)
		}
		return trace.BadParameter("line %d: unknown field %s; known fields: %s",
			lineAt(raw, offset), name, strings.Join(fieldNames(reflect.TypeFor[Settings](), ""), ", "))
	}
	return trace.BadParameter("line %d: %v", lineAt(raw, offset), err)
}

func lineAt(raw []byte, offset int64) int {
	if offset > int64(len(raw)) {
		offset = int64(len(raw))
	}
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// fieldNames returns the dotted names of all fields of a settings struct.
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
	if s.Targets.MaxHeadBytes == 0 {
		s.Targets.MaxHeadBytes = DefaultMaxHeadBytes
	}
	if s.Log.Format == "" {
		s.Log.Format = telemetry.FormatText
	}
	if s.Log.Level == "" {
		s.Log.Level = defaultLogLevel
	}
}

// validate returns an error that lists all problems.
func (s *Settings) validate() error {
	var problems []string
	addProblem := func(field, format string, args ...any) {
		problems = append(problems, fmt.Sprintf("field %s: %s", field, fmt.Sprintf(format, args...)))
	}
	required := []struct{ field, value string }{
		{"vm.name", s.VM.Name},
		{"vm.zone", s.VM.Zone},
		{"vm.region", s.VM.Region},
		{"platform.url", s.Platform.URL},
	}
	for _, r := range required {
		if r.value == "" {
			addProblem(r.field, "is required")
		}
	}
	listeners := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	}
	for _, l := range listeners {
		if _, _, err := net.SplitHostPort(l.value); err != nil {
			addProblem(l.field, "got %q; allowed is host:port", l.value)
		}
	}
	if s.Platform.TimeoutMS < 0 || s.Platform.CallsPerSecond < 0 {
		addProblem("platform", "timeout_ms and calls_per_second must be positive")
	}
	if s.Targets.MaxHeadBytes < minMaxHeadBytes {
		addProblem("targets.max_head_bytes", "got %d; allowed is %d or more", s.Targets.MaxHeadBytes, minMaxHeadBytes)
	}
	if s.Log.Format != telemetry.FormatJSON && s.Log.Format != telemetry.FormatText {
		addProblem("log.format", "got %q; allowed is one of json, text", s.Log.Format)
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		addProblem("log.level", "got %q; allowed is one of error, warning, info, debug", s.Log.Level)
	}
	for _, t := range []struct {
		field string
		tls   TLS
	}{{"peers.tls", s.Peers.TLS}, {"operator.tls", s.Operator.TLS}} {
		if (t.tls.CertFile == "") != (t.tls.KeyFile == "") {
			addProblem(t.field, "cert_file and key_file must be set together")
		}
	}
	if len(problems) > 0 {
		return trace.BadParameter("%s", strings.Join(problems, "; "))
	}
	return nil
}
