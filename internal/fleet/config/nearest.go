package config

// A candidate is suggested for a misspelt name if its edit distance is at most a
// third of the name's length, or at most two for short names.
const (
	distanceDivisor  = 3
	minDistanceLimit = 2
)

// nearest returns the candidate with the smallest edit distance to name, or "" if
// all are too distant.
func nearest(name string, candidates []string) string {
	best := ""
	limit := max(len(name)/distanceDivisor, minDistanceLimit) + 1
	for _, candidate := range candidates {
		if d := editDistance(name, candidate, limit); d < limit {
			best, limit = candidate, d
		}
	}
	return best
}

// editDistance returns the smaller of limit and the optimal string alignment
// distance of a and b in bytes: the number of insertions, deletions,
// substitutions and swaps of adjacent bytes that turn a into b.
func editDistance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	// Dynamic programming over the prefixes of a and b. Only three rows are kept.
	twoRowsUp := make([]int, len(b)+1)
	rowUp := make([]int, len(b)+1)
	row := make([]int, len(b)+1)
	for j := range rowUp {
		rowUp[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(rowUp[j]+1, row[j-1]+1, rowUp[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], twoRowsUp[j-2]+1)
			}
		}
		twoRowsUp, rowUp, row = rowUp, row, twoRowsUp
	}
	return min(rowUp[len(b)], limit)
}
