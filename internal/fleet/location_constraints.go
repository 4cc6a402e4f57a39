package fleet

// locationTotals holds the sums over the serving caches of one location from which its constraints are computed.
type locationTotals struct {
	warm            float64 // serving share of the warm caches
	serving         float64 // serving share of all caches
	capacity        float64 // share of all caches
	warmingCapacity float64 // share of the warming caches
	warming         []*Host
	caches          []*Host
}

func (s ObservedState) locationTotals(location string) (t locationTotals) {
	for host := range s.HostsInSite(location) {
		if host.Role != Cache || !s.Serves(host) {
			continue
		}
		t.caches = append(t.caches, host)
		t.serving += host.Serving
		t.capacity += host.Share
		if s.IsWarmingUp(host) {
			t.warmingCapacity += host.Share
			t.warming = append(t.warming, host)
		} else {
			t.warm += host.Serving
		}
	}
	return t
}

// LocationSlacks returns the slacks of the constraints of one location. The constraints on warm-up do not apply to a location without
// load, which is not open yet, nor to a location whose only cache is warming up, since no other cache could take its load.
func (s ObservedState) LocationSlacks(name string) (all []Slack) {
	l := s.Location(name)
	if l == nil {
		return nil
	}
	totals := s.locationTotals(name)
	all = append(all, s.floorSlack(l, totals))
	if len(totals.caches)+len(l.Sources) > 0 {
		all = append(all, s.sourceSlack(l))
	}
	if totals.warm == 0 && len(totals.caches) == 1 || l.Load == 0 {
		return all
	}
	if len(totals.warming) > 1 {
		allowed := s.Rules().MaxWarmingShare * totals.capacity
		all = append(all, Slack{
			Constraint: WarmingCapacityConstraint,
			Resource:   name,
			Have:       totals.warmingCapacity,
			Need:       allowed,
			Slack:      allowed - totals.warmingCapacity,
		})
	}
	for _, host := range totals.warming {
		all = append(all, s.warmingCacheSlack(l, totals, host))
	}
	return all
}

func (s ObservedState) floorSlack(l *Location, totals locationTotals) Slack {
	worst := Slack{Constraint: FloorConstraint, Resource: l.Name, Have: totals.warm, Need: l.Floor, RawSlack: totals.serving}
	for _, host := range totals.caches {
		if remaining := totals.warm - host.Serving; !s.IsWarmingUp(host) && remaining < worst.Have {
			worst.Have = remaining
			worst.FailedHost = host.Name
		}
	}
	worst.Slack = worst.Have - worst.Need
	return worst
}

// sourceSlack returns the slack of the number of serving sources if one parent fails.
func (s ObservedState) sourceSlack(l *Location) Slack {
	slack := Slack{Constraint: SourceConstraint, Resource: l.Name, Need: 1}
	for _, name := range l.Sources {
		host := s.Host(name)
		if host == nil || !s.Serves(host) {
			continue
		}
		slack.Have++
		if host.Role == Parent && slack.FailedHost == "" {
			slack.FailedHost = name
		}
	}
	if slack.FailedHost != "" {
		slack.Have--
	}
	slack.Slack = slack.Have - slack.Need
	return slack
}

// warmingCacheSlack returns the slack of the load on a warming cache. Directors divide the location's load in proportion to the serving
// shares. The failure of the only warm cache is exempt, since the location is not open without it.
func (s ObservedState) warmingCacheSlack(l *Location, totals locationTotals, host *Host) Slack {
	worst := Slack{
		Constraint: WarmingCacheConstraint,
		Resource:   host.Name,
		Have:       l.Load * host.Serving / totals.serving,
		Need:       s.Rules().Cache.MaxLoadAtStart(host.Share),
	}
	highestLoad := worst.Have
	for _, failed := range totals.caches {
		remaining := totals.serving - failed.Serving
		if failed == host || remaining <= 0 {
			continue
		}
		requested := l.Load * host.Serving / remaining
		highestLoad = max(highestLoad, requested)
		isOnlyWarm := !s.IsWarmingUp(failed) && totals.warm-failed.Serving <= 0
		if !isOnlyWarm && requested > worst.Have {
			worst.Have = requested
			worst.FailedHost = failed.Name
		}
	}
	worst.Slack = worst.Need - worst.Have
	worst.RawSlack = worst.Need - highestLoad
	return worst
}
