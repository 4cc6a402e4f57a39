package main

import (
	"stairvane.org/stairvane/internal/director"
	"stairvane.org/stairvane/internal/director/config"
)

// runDirector runs a director that is configured by LB_CONFIG, and by the operator's settings if stairvane-fleet hands some over.
func runDirector() error {
	operator, err := config.TakeOperatorSettings()
	if err != nil {
		return err
	}
	return director.Serve(operator)
}
