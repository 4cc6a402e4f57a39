package testharness

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
)

// Director is a director's process that follows the copies of a board.
type Director struct {
	*Process
	Addr string // where clients connect
}

// StartDirector starts a director in a location, whose first copy to follow is the one at a place in the list. forms are further
// ones of (director ...).
func (s *Cluster) StartDirector(name, location string, first int, forms string) (*Director, error) {
	var bulletins []string
	for i := range s.Replicas {
		bulletins = append(bulletins, s.Replicas[(first+i)%len(s.Replicas)].Follow.Addr())
	}
	return s.startDirector(name, location, first, bulletins, forms)
}

// StartDirectorAt starts a director that watches relays, the one at a place in the list first.
func (s *Cluster) StartDirectorAt(name, location string, relays []*Relay, first int, forms string) (*Director, error) {
	var bulletins []string
	for i := range relays {
		bulletins = append(bulletins, relays[(first+i)%len(relays)].Watch.Addr())
	}
	return s.startDirector(name, location, first, bulletins, forms)
}

func (s *Cluster) startDirector(name, location string, first int, bulletins []string, forms string) (*Director, error) {
	own := maps.Clone(settings)
	own["Zone"] = location
	if s.Parents {
		family := maps.Clone(own["FamilyInfo"].(map[string]any))
		family["ParentKind"] = 1
		own["FamilyInfo"] = family
	}
	config := map[string]any{
		"name": name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%016x", 1+first), "bulletin": bulletins[0],
		"limits": map[string]any{"memory_mb": 64, "sockets": 512}, "known": map[string]any{"no": 0, "items": []any{}}, "settings": own,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.Folder, name+".json")
	program := filepath.Join(s.Folder, name+".scm")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(program, fmt.Appendf(nil, "(director (bulletins %s) (machine m-%s) (site %s) %s)\n", strings.Join(bulletins[1:], " "), name, location, forms), 0o600); err != nil {
		return nil, err
	}
	p, err := Start(name, s.Program, []string{"director", program}, []string{"LB_CONFIG=" + file, "LB_LOG_LEVEL=debug"})
	if err != nil {
		return nil, err
	}
	serves, _, err := p.Event("director.serves", 0, startWithin)
	if err != nil {
		p.Kill()
		return nil, fmt.Errorf("%w\n%s", err, strings.Join(p.Log(), "\n"))
	}
	addr, _ := serves["addr"].(string)
	return &Director{p, addr}, nil
}

// settings are those of two small depots with a class of requests that may be repeated, clips, and one whose repeats the
// caches of one location drop within 4 s, orders.
var settings = map[string]any{
	"Areas": []string{"hub", "west", "east"}, "Zone": "west", "Models": []string{"std", "parent", "origin"}, "Balancers": 1, "SlotNo": 0, "Weights": "nominal",
	"FamilyInfo": map[string]any{
		"ParentKind": -1, "SourceKind": 2, "CountByZone": []int{0, 1, 1}, "OneFlowKbPerS": 5000, "Tells": "hit", "Joins": true,
		"Siblings": "off", "NoticeTime": 0, "PurgeDone": 6000, "GoodFor": []int{0, 0}, "OlderBy": []int{0, 0}, "PassOn": []bool{false, false}, "MultiPart": []bool{true, false},
	},
	"Grades": []any{
		map[string]any{"Name": "clips", "Aim": 600, "AimStretch": 2, "Deadline": 6000, "Worth": 2, "Effect": "safe", "Group": "all"},
		map[string]any{"Name": "orders", "Aim": 600, "AimStretch": 2, "Deadline": 6000, "Worth": 2, "Effect": "keyed", "Group": "zone", "DedupWindow": 4000},
	},
	"Limits": map[string]any{
		"Cancel": true, "ConnIdle": 15000, "DialTimeout": 400, "MaxAttempts": 8, "MaxRetryAfter": 2000, "MostHeld": 20000,
		"Multiplex": 32, "RetryAfter": true,
	},
	"Report": map[string]any{"How": "inline", "Fields": []string{"cpu_share", "busy_reqs"}},
	"Rules":  map[string]any{"DrainGrace": 500, "GraceToAnswer": 8, "Cold": 16000, "ColdFrom": 0.17, "Fall": 3000, "TipMultiple": 4},
}
