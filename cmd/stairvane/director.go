package main

import (
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
)

// runDirector serves as a director on one core, with what LB_CONFIG configures.
func runDirector() error { return director.Serve(config.OperatorSettings{Cores: 1}) }
