package faultmatrix

// Rows returns the row names of a matrix that injects each fault alone, each pair
// of different faults and each fault twice. The map has for each row the positions
// of its faults in names.
func Rows(names []string) (rows []string, faults map[string][]int) {
	faults = make(map[string][]int)
	add := func(row string, positions ...int) {
		rows = append(rows, row)
		faults[row] = positions
	}
	for i, name := range names {
		add(name, i)
	}
	for i, first := range names {
		for j := i; j < len(names); j++ {
			add(first+", "+names[j], i, j)
		}
	}
	return rows, faults
}
