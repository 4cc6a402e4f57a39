package config

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:9090","seed":"8c1f30d27a5be964","limits":{"memory_mb":64,"sockets":256},
"bulletin":"127.0.0.1:8500","known":{"no":3,"items":[]},"settings":{"Areas":["north","a b"],"Limits":{"ConnIdle":15000.0,
"Multiplex":32},"Report":{"How":"inline","Fields":["cpu_share","x1"]},"FamilyInfo":{"PassOn":[false,true]},
"Grades":[{"Name":"clips","Aim":600.0},{"Name":"stock-report","Effect":"keyed"}]}}`

// Guards against a key that is ignored or mapped to the wrong field.
func TestConfigurationIsRead(t *testing.T) {
	c, err := Parse([]byte(validConfig), "", "127.0.0.2:9090")
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen.String() != "127.0.0.2:9090" || c.MemoryMB != 64 || c.Sockets != 256 || c.Seed != 0x8c1f30d27a5be964 ||
		c.InitialEvents.LastRevision != 3 || c.Connections.ConnIdle != 15*time.Second || c.Connections.Streams != 32 ||
		!slices.Equal(c.Connections.Reports, []string{"cpu_share", "x1"}) {
		t.Errorf("%+v", c)
	}
	s := c.Settings
	if !slices.Equal(s.Zones, []string{"north", "a_b"}) || len(s.Classes) != 2 || s.Classes[0].LatencyObjective != 600*time.Millisecond ||
		!s.Classes[1].Uncacheable {
		t.Errorf("%+v", s)
	}
}

// Guards against an error that does not name the invalid key.
func TestErrorsNameTheirKey(t *testing.T) {
	for key, change := range map[string][2]string{
		"listen":                  {`"127.0.0.1:9090"`, `"nowhere"`},
		"bulletin":                {`"127.0.0.1:8500"`, `"127.0.0.1"`},
		"seed":                    {`"8c1f30d27a5be964"`, `"xyz"`},
		"limits.memory_mb":        {`"memory_mb":64`, `"memory_mb":-1`},
		"limits.sockets":          {`"sockets":256`, `"sockets":3`},
		"settings.Grades":         {`"Grades":[{"Name":"clips","Aim":600.0},{"Name":"stock-report","Effect":"keyed"}]`, `"Grades":[]`},
		"settings: missing":       {`"settings":`, `"other":`},
		"setting Grades.0.Aim":    {`"Aim":600.0`, `"Aim":"soon"`},
		"setting Limits.ConnIdle": {`"ConnIdle":15000.0`, `"ConnIdle":"x"`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		if _, err := Parse([]byte(text), "", ""); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
