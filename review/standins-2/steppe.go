//go:build review

package main

// steppeSettings are settings as the wire page shows them for steppe-depots, for a director of depot edge-1.
func steppeSettings() map[string]any {
	return map[string]any{
		"Areas": []string{"north", "south", "edge-1"}, "Zone": "edge-1", "Models": []string{"small-box", "parent", "origin"},
		"Balancers": 3, "SlotNo": 0, "Weights": "nominal", "MembershipMode": "automatic",
		"FamilyInfo": map[string]any{
			"ParentKind": 1, "SourceKind": 2, "CountByZone": []int{0, 0, 3}, "HubByZone": []int{0, 1, 1}, "OneFlowKbPerS": 5500,
			"Tells": "hit", "Joins": true, "Siblings": "off", "NoticeTime": 300, "PurgeDone": 6000, "Direct": true,
			"GoodFor": []int{0, 12000, 0}, "OlderBy": []int{0, 0, 0}, "PassOn": []bool{false, false, true},
			"MultiPart": []bool{true, false, false}, "UpperColdFrom": 0.061, "ParentWarmsIn": 20000, "ParentBreaksAt": 2,
		},
		"Grades": []any{
			map[string]any{"Name": "clips", "Aim": 600, "AimStretch": 2, "Deadline": 6000, "Worth": 2, "Effect": "safe", "Group": "all", "DedupWindow": 5000},
			map[string]any{"Name": "pictures", "Aim": 400, "AimStretch": 2, "Deadline": 2500, "Worth": 1, "Effect": "safe", "Group": "all", "DedupWindow": 5000},
			map[string]any{"Name": "stock-report", "Aim": 700, "Deadline": 3000, "Worth": 3, "Effect": "keyed", "Group": "all", "DedupWindow": 3000},
		},
		"Limits": map[string]any{"Cancel": true, "ConnIdle": 15000, "DialTimeout": 400, "MaxAttempts": 8, "MaxRetryAfter": 2000,
			"MostHeld": 20000, "Multiplex": 32, "RetryAfter": true, "SecondCopies": false},
		"Report": map[string]any{"How": "inline", "Fields": []string{"cpu_share", "busy_reqs", "x1", "x0"}},
		"Rules": map[string]any{"DrainGrace": 500, "GraceToAnswer": 8, "Cold": 16000, "ColdFrom": 0.17, "Fall": 3000, "TipMultiple": 4,
			"AskWithin": 10000},
	}
}

// host is an entry of the bulletin's list.
func host(c *cache, site, class, health string) map[string]any {
	return map[string]any{"host": c.Name, "dial": c.addr(), "site": site, "class": class, "block": 1, "health": health, "share": 4, "born_ms": 0}
}

// directorConfig writes the configuration of a director and returns its path.
func directorConfig(name, listen string, b *bulletin, settings map[string]any) string {
	known, _ := b.since(0)
	return writeFile(name+".json", mustJSON(map[string]any{
		"name": name, "listen": listen, "seed": randomID(), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"bulletin": b.addr, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": known, "settings": settings,
	}))
}
