package contention

import (
	"cmp"
	"slices"
)

const (
	// protectedShare is the fraction that a rank keeps of what it would have if ranks did
	// not matter, so that the lowest one is not shut out for good.
	protectedShare = 0.3
	// defaultWeight is the weight of an account if no account has one.
	defaultWeight = 1.0
)

// demand is what one rank of one account asks of a service, in seconds of server time per
// second.
type demand struct {
	rank    int
	account string
	asked   float64
	// fraction is the result of divide: the part that is admitted.
	fraction float64
}

// byUrgency orders demands by rank.
func byUrgency(demands []demand) {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.account, b.account))
	})
}

// divide determines which fraction of each demand is admitted, so that the admitted server
// time adds up to the capacity if there is too much demand. Urgent ranks go first, except
// for what is protected of each rank. Within a rank, accounts get weighted max-min shares.
// The demands are ordered by rank; capacity returns what a rank and all more urgent ones may
// have together, which falls with the rank.
func divide(capacity func(rank int) float64, demands []demand, weight func(account string) float64) {
	total := 0.0
	for i := range demands {
		demands[i].fraction = 1
		total += demands[i].asked
	}
	if len(demands) == 0 {
		return
	}
	all := capacity(demands[len(demands)-1].rank)
	if total <= all {
		return
	}
	protected, granted := protectedShare*all/total, 0.0
	for first := 0; first < len(demands); {
		end := first
		asked := 0.0
		for ; end < len(demands) && demands[end].rank == demands[first].rank; end++ {
			asked += demands[end].asked
		}
		left := max((1-protectedShare)*capacity(demands[first].rank)-granted, 0)
		more := min(left, asked*(1-protected))
		granted += more
		share(more+asked*protected, demands[first:end], weight)
		first = end
	}
}

// share divides what a rank is granted among its accounts: weighted max-min over their demand.
func share(granted float64, demands []demand, weight func(account string) float64) {
	// Accounts that ask for least, relative to their weight, are satisfied first.
	order := slices.Clone(demands)
	slices.SortFunc(order, func(a, b demand) int {
		return cmp.Compare(a.asked/weight(a.account), b.asked/weight(b.account))
	})
	weights := 0.0
	for i := range order {
		weights += weight(order[i].account)
	}
	fractions := make(map[string]float64, len(order))
	for i := range order {
		d := &order[i]
		portion := granted * weight(d.account) / weights
		weights -= weight(d.account)
		admitted := min(d.asked, portion)
		granted -= admitted
		fractions[d.account] = 1
		if d.asked > 0 {
			fractions[d.account] = admitted / d.asked
		}
	}
	for i := range demands {
		demands[i].fraction = fractions[demands[i].account]
	}
}
