package main

import "stairvane.org/stairvane/internal/fleet"

// purgeCmd purges an object or a group on all caches.
type purgeCmd struct {
	controlPlaneFlags
	outputFlags
	Object string `xor:"what" required:"" help:"The object, 16 hex digits."`
	Group  *int   `xor:"what" required:"" help:"The group, 0 to 255."`
}

// Run submits the purge and returns once it is durable on a majority of the replicas.
func (c purgeCmd) Run(s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	purged, err := client.Purge(fleet.Purge{Object: c.Object, Group: c.Group})
	if err != nil {
		return err
	}
	if c.json() {
		return writeJSON(s.out, purged)
	}
	s.printf("purged by event %d\n", purged.Revision)
	return nil
}
