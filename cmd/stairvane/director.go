package main

import (
	"stairvane.org/stairvane/internal/config"
	"stairvane.org/stairvane/internal/program"
)

// runDirector is one director on one core.
func runDirector() error { return program.Serve(config.OperatorSettings{Cores: 1}) }
