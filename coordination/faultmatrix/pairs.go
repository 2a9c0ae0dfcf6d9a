package faultmatrix

// Rows returns the rows of a matrix that tries each fault alone, each pair of
// two and each fault twice. Each row lists the positions of its faults in names.
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
