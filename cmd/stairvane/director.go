package main

import (
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
)

// runDirector runs a director on one core, configured by LB_CONFIG.
func runDirector() error { return director.Serve(config.OperatorSettings{Cores: 1}) }
