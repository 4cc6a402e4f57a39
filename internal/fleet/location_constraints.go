package fleet

// siteTotals are what the constraints of one location are made of.
type siteTotals struct {
	warm            float64 // serving, of the caches that are warm
	serving         float64 // of all caches that serve
	capacity        float64 // of all caches that serve
	warmingCapacity float64
	warming         []*Host
	caches          []*Host // that serve
}

func (s ObservedState) siteTotals(location string) (t siteTotals) {
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

// LocationSlacks measures the constraints of one location. Those about warming up do not count for a location without load, which is
// not open yet, and where a single cache is all that there is, for then there is no other way.
func (s ObservedState) LocationSlacks(name string) (all []Slack) {
	l := s.Location(name)
	if l == nil {
		return nil
	}
	totals := s.siteTotals(name)
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
			Thing:      name,
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

func (s ObservedState) floorSlack(l *Location, totals siteTotals) Slack {
	worst := Slack{Constraint: FloorConstraint, Thing: l.Name, Have: totals.warm, Need: l.Floor, RawSlack: totals.serving}
	for _, host := range totals.caches {
		if left := totals.warm - host.Serving; !s.IsWarmingUp(host) && left < worst.Have {
			worst.Have = left
			worst.FailedHost = host.Name
		}
	}
	worst.Slack = worst.Have - worst.Need
	return worst
}

// sourceSlack counts the sources that serve, with one parent dying.
func (s ObservedState) sourceSlack(l *Location) Slack {
	slack := Slack{Constraint: SourceConstraint, Thing: l.Name, Need: 1}
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

// warmingCacheSlack is what a cache that warms up is asked for: directors divide the location's load by the shares that they are sent.
// The death of the only warm cache is exempt, for without it the location is not open.
func (s ObservedState) warmingCacheSlack(l *Location, totals siteTotals, host *Host) Slack {
	worst := Slack{
		Constraint: WarmingCacheConstraint,
		Thing:      host.Name,
		Have:       l.Load * host.Serving / totals.serving,
		Need:       s.Rules().Cache.MaxLoadAtStart(host.Share),
	}
	mostAsked := worst.Have
	for _, dying := range totals.caches {
		left := totals.serving - dying.Serving
		if dying == host || left <= 0 {
			continue
		}
		asked := l.Load * host.Serving / left
		mostAsked = max(mostAsked, asked)
		isOnlyWarm := !s.IsWarmingUp(dying) && totals.warm-dying.Serving <= 0
		if !isOnlyWarm && asked > worst.Have {
			worst.Have = asked
			worst.FailedHost = dying.Name
		}
	}
	worst.Slack = worst.Need - worst.Have
	worst.RawSlack = worst.Need - mostAsked
	return worst
}
