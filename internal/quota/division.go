package quota

import "time"

// A division looks at all accounts of a limit, and each account renews several times a second. So a division is reused for a time
// that grows with the number of accounts.
const (
	divisionLifetime           = 50 * time.Millisecond
	divisionLifetimePerAccount = 50 * time.Microsecond
	// weightChangeDivisor has a division made anew once the number of holders has changed by one in so many.
	weightChangeDivisor = 8
)

// rateShare decides what a holder gets of a rate: its max-min fair share, as far as what is in force of the others allows it.
func (d *divider) rateShare(l *limit, a *account, of budget, now time.Duration) float64 {
	d.refreshDivision(l, of, now)
	target := l.division.shareOf(d.appendScaled(nil, a.demands))
	usedByOthers := l.used - a.used
	previous := a.newest()
	isNear := target-previous < d.set.MinChange*previous && previous-target < d.set.MinChange*previous
	if previous > 0 && len(a.demands) > 0 && isNear && usedByOthers+previous <= of.share {
		target = previous
	}
	// After the budget sank, shares from the larger budget may be renewed but not grow: they end before that budget does.
	// What was granted since must fit into the smaller budget.
	available := min(of.share-(l.recent-a.recent), max(of.share-usedByOthers, a.used))
	return max(0, roundDown(min(target, available)))
}

// appendScaled appends groups with their demands scaled from the limit to what is left of it beside the reserve.
func (d *divider) appendScaled(to, groups []Group) []Group {
	for _, group := range groups {
		to = append(to, Group{group.Demand * (1 - d.set.Reserve), group.Count})
	}
	return to
}

// refreshDivision divides a rate anew if its division is too old, or was made for another budget or number of holders.
func (d *divider) refreshDivision(l *limit, of budget, now time.Duration) {
	change := max(l.weight-l.dividedWeight, l.dividedWeight-l.weight)
	lifetime := divisionLifetime + time.Duration(len(l.order))*divisionLifetimePerAccount
	if now-l.dividedAt < lifetime && change*weightChangeDivisor <= l.dividedWeight && of.share == l.dividedBudget {
		return
	}
	d.scratch = d.scratch[:0]
	for _, a := range l.order {
		if now < a.renewed+a.expiresAfter {
			d.scratch = d.appendScaled(d.scratch, a.demands)
		}
	}
	l.division = divide(d.scratch, of.share, d.set.Floor*of.evenShare)
	l.dividedAt = now
	l.dividedWeight = l.weight
	l.dividedBudget = of.share
}

// division is how a budget is divided among holders.
type division struct {
	floor float64 // what each that demands anything gets at least
	level float64 // what each gets at most, without spare
	spare float64 // what each gets besides, of what nobody demands
}

// shareOf returns what groups that took part in the division get together.
func (v division) shareOf(groups []Group) (sum float64) {
	for _, group := range groups {
		if group.Demand > 0 {
			sum += float64(group.Count) * (min(max(group.Demand, v.floor), v.level) + v.spare)
		}
	}
	return sum
}

// divide divides a budget by progressive filling, which is max-min fair. Whoever demands less than an even share of what is left
// gets its demand; the others get the same each. Each that demands anything gets the floor at least, as far as the budget goes.
// What nobody demands is divided evenly, so that a demand that rises is met at once.
//
// It passes over the groups that may still get less than their demand, until each of them demands more than an even share. It
// reorders groups.
func divide(groups []Group, budget, floor float64) division {
	open := groups[:0]
	count := 0
	for _, group := range groups {
		if group.Demand > 0 {
			open = append(open, group)
			count += group.Count
		}
	}
	if count == 0 || budget <= 0 {
		return division{}
	}
	all := count
	rest := budget
	floor = min(floor, budget/float64(all))
	for count > 0 {
		level := rest / float64(count)
		wanting := open[:0]
		for _, group := range open {
			wanted := max(group.Demand, floor)
			if wanted > level {
				wanting = append(wanting, group)
				continue
			}
			rest -= float64(group.Count) * wanted
			count -= group.Count
		}
		if len(wanting) == len(open) {
			return division{floor: floor, level: level}
		}
		open = wanting
	}
	return division{floor: floor, level: budget, spare: max(0, rest) / float64(all)}
}
