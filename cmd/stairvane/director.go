package main

import (
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
)

// runDirector is one director on one core.
func runDirector() error { return director.Serve(config.OperatorSettings{Cores: 1}) }
