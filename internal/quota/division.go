package quota

import "time"

// Computing a division iterates over all accounts of a limit, and each account renews several times a second. So a division is reused
// for a time that grows with the number of accounts.
const (
	divisionLifetime           = 50 * time.Millisecond
	divisionLifetimePerAccount = 50 * time.Microsecond
	// weightChangeDivisor limits the reuse of a division when the number of holders changes: the division is recomputed once the
	// number has changed by more than 1/weightChangeDivisor.
	weightChangeDivisor = 8
)

// rateShare returns a holder's share of a rate: its max-min fair share, limited by the shares of other holders that are in force.
func (d *divider) rateShare(l *limit, a *account, total budget, now time.Duration) float64 {
	d.refreshDivision(l, total, now)
	target := l.division.shareOf(d.appendScaled(nil, a.demands))
	usedByOthers := l.used - a.used
	previous := a.newestShare()
	isNear := target-previous < d.settings.MinChange*previous && previous-target < d.settings.MinChange*previous
	if previous > 0 && len(a.demands) > 0 && isNear && usedByOthers+previous <= total.share {
		target = previous
	}
	// After the budget has decreased, shares granted from the larger budget may be renewed but not increased: they expire before
	// that budget does. Shares granted since then must fit into the smaller budget.
	available := min(total.share-(l.recentlyUsed-a.recentlyUsed), max(total.share-usedByOthers, a.used))
	return max(0, roundDown(min(target, available)))
}

// appendScaled appends groups to a slice, with their demands scaled from the whole limit to the limit without the reserve.
func (d *divider) appendScaled(to, groups []Group) []Group {
	for _, group := range groups {
		to = append(to, Group{group.Demand * (1 - d.settings.Reserve), group.Count})
	}
	return to
}

// refreshDivision recomputes the division of a rate if it is too old or the budget or the number of holders has changed.
func (d *divider) refreshDivision(l *limit, total budget, now time.Duration) {
	change := max(l.weight-l.dividedWeight, l.dividedWeight-l.weight)
	lifetime := divisionLifetime + time.Duration(len(l.order))*divisionLifetimePerAccount
	if now-l.dividedAt < lifetime && change*weightChangeDivisor <= l.dividedWeight && total.share == l.dividedBudget {
		return
	}
	d.scratch = d.scratch[:0]
	for _, a := range l.order {
		if now < a.renewedAt+a.expiresAfter {
			d.scratch = d.appendScaled(d.scratch, a.demands)
		}
	}
	l.division = divide(d.scratch, total.share, d.settings.Floor*total.evenShare)
	l.dividedAt = now
	l.dividedWeight = l.weight
	l.dividedBudget = total.share
}

// division is the result of dividing a budget among holders.
type division struct {
	floor   float64 // minimum share of each holder with a demand
	level   float64 // maximum share of each holder, without surplus
	surplus float64 // additional share of each holder from the budget that exceeds the demands
}

// shareOf returns the total share of groups that were included in the division.
func (v division) shareOf(groups []Group) (sum float64) {
	for _, group := range groups {
		if group.Demand > 0 {
			sum += float64(group.Count) * (min(max(group.Demand, v.floor), v.level) + v.surplus)
		}
	}
	return sum
}

// divide divides a budget by progressive filling, which is max-min fair. A holder that demands no more than an even share of the
// remaining budget gets its demand; all other holders get equal shares. Each holder with a demand gets at least the floor, as far as
// the budget allows. Budget that exceeds the demands is divided evenly, so that an increase in demand is satisfied at once.
//
// It iterates over the groups that may still get less than their demand, until each of them demands more than an even share. It
// reorders groups.
func divide(groups []Group, budget, floor float64) division {
	pending := groups[:0]
	count := 0
	for _, group := range groups {
		if group.Demand > 0 {
			pending = append(pending, group)
			count += group.Count
		}
	}
	if count == 0 || budget <= 0 {
		return division{}
	}
	totalCount := count
	remaining := budget
	floor = min(floor, budget/float64(totalCount))
	for count > 0 {
		level := remaining / float64(count)
		unsatisfied := pending[:0]
		for _, group := range pending {
			wanted := max(group.Demand, floor)
			if wanted > level {
				unsatisfied = append(unsatisfied, group)
				continue
			}
			remaining -= float64(group.Count) * wanted
			count -= group.Count
		}
		if len(unsatisfied) == len(pending) {
			return division{floor: floor, level: level}
		}
		pending = unsatisfied
	}
	return division{floor: floor, level: budget, surplus: max(0, remaining) / float64(totalCount)}
}
