package testharness

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
)

// Director is a director process that watches the replicas of a control plane, or relays.
type Director struct {
	*Process
	Addr string // address that clients connect to
}

// StartDirector starts a director in a location. It watches the replicas, beginning with the one at index first. forms are additional
// forms in (director ...).
func (c *Cluster) StartDirector(name, location string, first int, forms string) (*Director, error) {
	var addresses []string
	for i := range c.Replicas {
		addresses = append(addresses, c.Replicas[(first+i)%len(c.Replicas)].Watch.Addr())
	}
	return c.startDirector(name, location, first, addresses, forms)
}

// StartDirectorOnRelays starts a director in a location that watches relays, beginning with the one at index first.
func (c *Cluster) StartDirectorOnRelays(name, location string, relays []*Relay, first int, forms string) (*Director, error) {
	var addresses []string
	for i := range relays {
		addresses = append(addresses, relays[(first+i)%len(relays)].Watch.Addr())
	}
	return c.startDirector(name, location, first, addresses, forms)
}

func (c *Cluster) startDirector(name, location string, first int, addresses []string, forms string) (*Director, error) {
	config, err := json.Marshal(map[string]any{
		"name":     name,
		"listen":   "127.0.0.1:0",
		"seed":     fmt.Sprintf("%016x", 1+first),
		"bulletin": addresses[0],
		"limits":   map[string]any{"memory_mb": 64, "sockets": 512},
		"known":    map[string]any{"no": 0, "items": []any{}},
		"settings": c.directorSettings(location),
	})
	if err != nil {
		return nil, err
	}
	program := fmt.Appendf(nil, "(director (bulletins %s) (machine m-%s) (site %s) %s)\n",
		strings.Join(addresses[1:], " "), name, location, forms)
	configPath := filepath.Join(c.Folder, name+".json")
	programPath := filepath.Join(c.Folder, name+".scm")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(programPath, program, 0o600); err != nil {
		return nil, err
	}
	environment := []string{"LB_CONFIG=" + configPath, "LB_LOG_LEVEL=debug"}
	p, err := Start(name, c.Program, []string{"director", programPath}, environment)
	if err != nil {
		return nil, err
	}
	serves, _, err := p.Event("director.started", 0, startTimeout)
	if err != nil {
		p.Kill()
		return nil, fmt.Errorf("%w\n%s", err, strings.Join(p.Log(), "\n"))
	}
	address, _ := serves["addr"].(string)
	return &Director{p, address}, nil
}

// directorSettings returns the settings of a director in a location.
func (c *Cluster) directorSettings(location string) map[string]any {
	own := maps.Clone(defaultSettings)
	own["Zone"] = location
	if c.Parents {
		family := maps.Clone(defaultFamilySettings)
		family["ParentKind"] = 1
		own["FamilyInfo"] = family
	}
	return own
}

// defaultSettings are the settings of two small sites, under the platform's keys. They define two classes of requests: clips, which is
// idempotent, and orders, for which the caches of a location drop duplicates within 4 s.
var defaultSettings = map[string]any{
	"Areas":      []string{"hub", "west", "east"},
	"Zone":       "west",
	"Models":     []string{"std", "parent", "origin"},
	"Balancers":  1,
	"SlotNo":     0,
	"Weights":    "nominal",
	"FamilyInfo": defaultFamilySettings,
	"Grades": []any{
		map[string]any{
			"Name": "clips", "Aim": 600, "AimStretch": 2, "Deadline": 6000, "Worth": 2,
			"Effect": "safe", "Group": "all",
		},
		map[string]any{
			"Name": "orders", "Aim": 600, "AimStretch": 2, "Deadline": 6000, "Worth": 2,
			"Effect": "keyed", "Group": "zone", "DedupWindow": 4000,
		},
	},
	"Limits": map[string]any{
		"Cancel": true, "ConnIdle": 15000, "DialTimeout": 400, "MaxAttempts": 8, "MaxRetryAfter": 2000, "MostHeld": 20000,
		"Multiplex": 32, "RetryAfter": true,
	},
	"Report": map[string]any{"How": "inline", "Fields": []string{"cpu_share", "busy_reqs"}},
	"Rules":  map[string]any{"DrainGrace": 500, "GraceToAnswer": 8, "Cold": 16000, "ColdFrom": 0.17, "Fall": 3000, "TipMultiple": 4},
}

var defaultFamilySettings = map[string]any{
	"ParentKind": -1, "SourceKind": 2, "CountByZone": []int{0, 1, 1}, "OneFlowKbPerS": 5000, "Tells": "hit", "Joins": true,
	"Siblings": "off", "NoticeTime": 0, "PurgeDone": 6000, "GoodFor": []int{0, 0}, "OlderBy": []int{0, 0},
	"PassOn": []bool{false, false}, "MultiPart": []bool{true, false},
}
