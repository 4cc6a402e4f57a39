package simulator

import (
	"fmt"

	"stairvane.org/stairvane/internal/decision"
)

// maxLists is the number of endpoint lists that the protocol supports.
const maxLists = 16

// endpointLists holds the lists that the simulator has defined, indexed by number. A later definition
// replaces an earlier one.
type endpointLists struct {
	endpoints [maxLists][]decision.Endpoint
	isDefined [maxLists]bool
}

// defineList reads the definition of a list and the lines of its endpoints, one per line.
func (s *server) defineList(f *fields) error {
	list := f.nonNegativeInt("Table")
	count := f.nonNegativeInt("Lines")
	if f.err == nil && list >= maxLists {
		f.fail("Table", "out of range")
	}
	if err := f.end(); err != nil {
		return err
	}
	var endpoints []decision.Endpoint
	for range count {
		line, err := s.readLineInBatch()
		if err != nil {
			return err
		}
		endpoint, err := parseEndpoint(line)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	s.lists.endpoints[list] = endpoints
	s.lists.isDefined[list] = true
	return nil
}

func parseEndpoint(line string) (decision.Endpoint, error) {
	f := newFields(line)
	if f.message != messageEndpoint {
		return decision.Endpoint{}, fmt.Errorf("%s line expected, got %q", messageEndpoint, f.message)
	}
	e := decision.Endpoint{
		Host:      f.host(),
		Zone:      f.required("Zone"),
		Kind:      f.required("Shape"),
		Cell:      int(f.optionalInteger("Cluster")),
		Readiness: decision.Readiness(f.required("Readiness")),
		Weight:    f.optionalNumber("Share"),
		StartedAt: f.optionalTime("StartedAt"),
	}
	switch e.Readiness {
	case decision.Ready, decision.Draining, decision.Gone:
	default:
		f.fail("Readiness", "unknown")
	}
	return e, f.end()
}

func (s *server) parseEndpointUpdate(f *fields) (decision.Event, error) {
	update := decision.EndpointUpdate{
		Kind:    decision.EndpointUpdateKind(f.required("Kind")),
		Version: f.optionalInteger("Stamp"),
	}
	list := f.optionalInteger("Table")
	switch update.Kind {
	case decision.UpdateRejected:
	case decision.UpdateSnapshot, decision.UpdateDelta, decision.UpdateCached:
		if list < 0 || list >= maxLists || !s.lists.isDefined[list] {
			f.fail("Table", "no such list")
		} else {
			update.Endpoints = s.lists.endpoints[list]
		}
	default:
		f.fail("Kind", "unknown")
	}
	return update, f.end()
}
