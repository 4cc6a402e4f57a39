// Package config is the one place where the configuration is read, checked and given defaults. Its messages name the
// key at fault.
package config

import (
	"bytes"
	"encoding/json"
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

// Defaults and bounds.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastMemoryMB   = 32
	leastSockets    = 64
)

// Config is all that a director is told.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Known     discovery.WatchResponse
	Settings  decision.Settings
	// ControlPlanes are further addresses of the bulletin; this file does not name them.
	ControlPlanes []netip.AddrPort
	Fingerprint   string      // of what the file says but for what is new with each start: equal where that is equal
	Membership    *Membership // nil: off; this file does not name it
	Claims        *Claims     // likewise
	Pools         simulator.SocketSettings
}

type file struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *float64 `json:"sockets"`
	} `json:"limits"`
	Bulletin string                  `json:"bulletin"`
	Known    discovery.WatchResponse `json:"known"`
	Settings json.RawMessage         `json:"settings"`
}

// Load reads the file that LB_CONFIG names. LB_NAME and LB_LISTEN, where set, go before what the file says.
func Load() (Config, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("LB_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return Parse(text, os.Getenv("LB_NAME"), os.Getenv("LB_LISTEN"))
}

// Parse reads a configuration. A name or an address given here goes before the text's.
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
	c := Config{Name: f.Name, Known: f.Known}
	mark := fnv.New64a()
	mark.Write(f.Settings)
	c.Fingerprint = strconv.FormatUint(mark.Sum64(), 16)
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return Config{}, fmt.Errorf("listen (or LB_LISTEN): %w", err)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Bulletin); err != nil {
		return Config{}, fmt.Errorf("bulletin: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: %q is not a hex number of 64 bits", f.Seed)
	}
	if c.MemoryMB, err = bounded("limits.memory_mb", f.Limits.MemoryMB, defaultMemoryMB, leastMemoryMB); err != nil {
		return Config{}, err
	}
	if c.Sockets, err = bounded("limits.sockets", f.Limits.Sockets, defaultSockets, leastSockets); err != nil {
		return Config{}, err
	}
	words, err := flatten(f.Settings)
	if err != nil {
		return Config{}, err
	}
	if c.Settings, c.Pools, err = simulator.ParseSettings(words); err != nil {
		return Config{}, err
	}
	if len(c.Settings.Classes) == 0 {
		return Config{}, fmt.Errorf("settings.Grades: no classes")
	}
	return c, nil
}

// Differs names the keys, other than the bulletin's address, in which a configuration differs from another in a way
// that a running director can't follow. The seed and the events of the start are new with each start anyway.
func (c Config) Differs(o Config) (keys []string) {
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == o.Name},
		{"listen", c.Listen == o.Listen},
		{"limits.memory_mb", c.MemoryMB == o.MemoryMB},
		{"limits.sockets", c.Sockets == o.Sockets},
		{"settings", reflect.DeepEqual(c.Settings, o.Settings) && reflect.DeepEqual(c.Pools, o.Pools)},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

func bounded(key string, v *float64, normal, least int) (int, error) {
	if v == nil {
		return normal, nil
	}
	if !(*v >= float64(least) && *v <= 1<<30) {
		return 0, fmt.Errorf("%s: %v is not a number from %d up", key, *v, least)
	}
	return int(*v), nil
}

// flatten turns nested settings into the path=value words of the simulator's first message, so that one reader does
// for both.
func flatten(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var words []string
	walk(tree, "", &words)
	return words, nil
}
