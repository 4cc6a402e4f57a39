// Package config reads and validates the configuration of a director and fills in defaults. It defines the keys of the file
// that LB_CONFIG names. The keys below settings are mapped by package simulator, which also reads them from the simulator.
// Error messages name the invalid key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"stairvane.org/stairvane/internal/decision"
	"stairvane.org/stairvane/internal/protocol/discovery"
	"stairvane.org/stairvane/internal/protocol/simulator"
)

// The environment variables of a director.
const (
	fileVar   = "LB_CONFIG" // path of the configuration file
	nameVar   = "LB_NAME"   // overrides the file's name
	listenVar = "LB_LISTEN" // overrides the file's listen
)

// Defaults and bounds.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
	maxLimit        = 1 << 30
)

// Errors for a missing part of the configuration.
var (
	ErrNoFile     = errors.New("LB_CONFIG is not set: it must be the path of the configuration file")
	ErrNoSettings = errors.New("settings: missing")
	ErrNoClasses  = errors.New("settings.Grades: no classes")
)

// Config is the configuration of a director. Its last three fields are set from the operator configuration; see
// OperatorSettings.
type Config struct {
	Name          string
	Listen        netip.AddrPort
	Discovery     netip.AddrPort // address of the event stream
	Seed          uint64
	MemoryMB      int
	Sockets       int
	InitialEvents discovery.WatchResponse // the events known at the start
	Settings      decision.Settings
	Connections   simulator.SocketSettings
	Fingerprint   string // hash of the settings in the file

	ControlPlanes []netip.AddrPort // further addresses of the event stream
	Membership    *Membership      // nil: the director does not register with the control plane
	Claims        *Claims          // nil: idempotency keys are not claimed
}

// file is the JSON form of the configuration file that LB_CONFIG names.
type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	Discovery string                  `json:"bulletin"`
	Known     discovery.WatchResponse `json:"known"`
	Settings  json.RawMessage         `json:"settings"`
}

// Load reads the file that LB_CONFIG names. LB_NAME and LB_LISTEN override the file's name and listen if they are set.
func Load() (Config, error) {
	path := os.Getenv(fileVar)
	if path == "" {
		return Config{}, ErrNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", fileVar, err)
	}
	return Parse(text, os.Getenv(nameVar), os.Getenv(listenVar))
}

// Parse parses the text of a configuration file. If name or listen is not empty, it overrides the file's value.
func Parse(text []byte, name, listen string) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if name != "" {
		f.Name = name
	}
	if listen != "" {
		f.Listen = listen
	}
	c := Config{Name: f.Name, InitialEvents: f.Known, Fingerprint: fingerprint(f.Settings)}
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return Config{}, fmt.Errorf("listen (or %s): %w", listenVar, err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return Config{}, fmt.Errorf("bulletin: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %q is not a 64-bit hexadecimal number", f.Seed)
	}
	if c.MemoryMB, err = limitOrDefault("limits.memory_mb", f.Limits.MemoryMB, defaultMemoryMB, minMemoryMB); err != nil {
		return Config{}, err
	}
	if c.Sockets, err = limitOrDefault("limits.sockets", f.Limits.Sockets, defaultSockets, minSockets); err != nil {
		return Config{}, err
	}
	pairs, err := flattenSettings(f.Settings)
	if err != nil {
		return Config{}, err
	}
	if c.Settings, c.Connections, err = simulator.ParseSettings(pairs); err != nil {
		return Config{}, err
	}
	if len(c.Settings.Classes) == 0 {
		return Config{}, ErrNoClasses
	}
	return c, nil
}

func fingerprint(settings []byte) string {
	sum := fnv.New64a()
	_, _ = sum.Write(settings) // a hash returns no error
	return strconv.FormatUint(sum.Sum64(), 16)
}

// limitOrDefault returns the value of a limit, or its default if the file does not set it. It returns an error if the value
// is below minimum or above maxLimit.
func limitOrDefault(key string, value *float64, defaultValue, minimum int) (int, error) {
	if value == nil {
		return defaultValue, nil
	}
	if !(*value >= float64(minimum) && *value <= maxLimit) { // NaN is out of range, too
		return 0, fmt.Errorf("%s: %v is out of range: it must be from %d to 2^30", key, *value, minimum)
	}
	return int(*value), nil
}

// RestartRequiredKeys returns the keys whose values differ in another configuration and cannot be changed while the director runs. The
// address of the event stream is not compared, since it can be changed, and neither are the seed and the initial events,
// which differ at each start.
func (c Config) RestartRequiredKeys(other Config) (keys []string) {
	sameSettings := reflect.DeepEqual(c.Settings, other.Settings) && reflect.DeepEqual(c.Connections, other.Connections)
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"limits.memory_mb", c.MemoryMB == other.MemoryMB},
		{"limits.sockets", c.Sockets == other.Sockets},
		{"settings", sameSettings},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}
