// Package config reads, checks and defaults the configuration of a director. It is the one place that knows the keys of
// LB_CONFIG; those below settings are mapped by package simulator, which reads them from the simulator, too. Error messages
// name the key at fault.
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

// Errors of a configuration that lacks a part.
var (
	ErrNoFile     = errors.New("LB_CONFIG is not set: it names the configuration file")
	ErrNoSettings = errors.New("settings: missing")
	ErrNoClasses  = errors.New("settings.Grades: no classes")
)

// Config is the configuration of a director. The last three fields come from the operator's file; see OperatorSettings.
type Config struct {
	Name          string
	Listen        netip.AddrPort
	Discovery     netip.AddrPort // of the event stream
	Seed          uint64
	MemoryMB      int
	Sockets       int
	InitialEvents discovery.WatchResponse // the events at the start
	Settings      decision.Settings
	Connections   simulator.SocketSettings
	Fingerprint   string // equal for files with equal settings

	ControlPlanes []netip.AddrPort // further addresses of the event stream
	Membership    *Membership      // nil: the director does not announce itself
	Claims        *Claims          // nil: idempotency keys are not claimed
}

// file is the configuration file with the keys of LB_CONFIG.
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

// Load reads the file that LB_CONFIG names. LB_NAME and LB_LISTEN, where set, override the file.
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

// Parse reads a configuration file. A name or an address that is not empty overrides the file's.
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
		return Config{}, fmt.Errorf("seed: %q is not a hex number of 64 bits", f.Seed)
	}
	if c.MemoryMB, err = orDefault("limits.memory_mb", f.Limits.MemoryMB, defaultMemoryMB, minMemoryMB); err != nil {
		return Config{}, err
	}
	if c.Sockets, err = orDefault("limits.sockets", f.Limits.Sockets, defaultSockets, minSockets); err != nil {
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

// orDefault gives the number of a limit, or its default where the file has none.
func orDefault(key string, value *float64, defaultValue, minimum int) (int, error) {
	if value == nil {
		return defaultValue, nil
	}
	if !(*value >= float64(minimum) && *value <= maxLimit) { // NaN is out of range, too
		return 0, fmt.Errorf("%s: %v is not a number from %d up", key, *value, minimum)
	}
	return int(*value), nil
}

// Differs gives the keys in which another configuration differs so that a running director cannot apply it. The address
// of the event stream can be applied; the seed and the events of the start are new with each start anyway.
func (c Config) Differs(other Config) (keys []string) {
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
