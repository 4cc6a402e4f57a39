package quota

// Group is so many leaf holders that want about the same of a limit.
type Group struct {
	Demand float64 `json:"demand"` // of each, in parts of the limit
	Count  int     `json:"count"`
}

// MaxMin divides a limit of 1 among demands (in parts of the limit): whoever wants less than an even part of what is left
// gets that, the others the same each; progressive filling. Each that wants anything gets the floor at least, as far as the
// limit goes. What nobody wants is divided evenly among those who want something, so that a demand that rises finds room.
func MaxMin(demands []float64, floor float64) []float64 {
	groups := make([]Group, len(demands))
	for i, demand := range demands {
		groups[i] = Group{demand, 1}
	}
	filled := fill(groups, 1, floor)
	parts := make([]float64, len(demands))
	for i, demand := range demands {
		parts[i] = filled.part([]Group{{demand, 1}})
	}
	return parts
}

// filling is how a budget is divided: what it takes to tell the part of any one that was counted in it.
type filling struct {
	floor float64 // for each that wants anything
	level float64 // the most for each, before what is spare is divided
	spare float64 // for each, on top
}

// part is what groups get together.
func (f filling) part(groups []Group) (sum float64) {
	for _, group := range groups {
		if group.Demand > 0 {
			sum += float64(group.Count) * (min(max(group.Demand, f.floor), f.level) + f.spare)
		}
	}
	return sum
}

// fill finds how a budget is divided among groups. It looks over those that are not yet known to get all they want until
// none is left that wants less than an even part of the rest: a few times, each over fewer. It reorders the groups.
func fill(groups []Group, budget, floor float64) filling {
	open, count := groups[:0], 0
	for _, group := range groups {
		if group.Demand > 0 {
			open = append(open, group)
			count += group.Count
		}
	}
	if count == 0 || budget <= 0 {
		return filling{}
	}
	all, rest := count, budget
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
			return filling{floor: floor, level: level}
		}
		open = wanting
	}
	return filling{floor: floor, level: budget, spare: max(0, rest) / float64(all)}
}
