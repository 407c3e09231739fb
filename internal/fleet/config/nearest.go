package config

// maxDistanceShare bounds the edits that still make a name a likely mistake
// for another: a third of its length, and at least two.
const (
	maxDistanceShare = 3
	minDistance      = 2
)

// nearest returns the candidate with the smallest edit distance to name, or ""
// where none is near.
func nearest(name string, candidates []string) string {
	best := ""
	limit := max(len(name)/maxDistanceShare, minDistance) + 1
	for _, candidate := range candidates {
		if d := editDistance(name, candidate, limit); d < limit {
			best, limit = candidate, d
		}
	}
	return best
}

// editDistance returns the number of insertions, deletions, replacements and
// swaps of neighbours that turn a into b, or limit where it is not below that.
func editDistance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	before := make([]int, len(b)+1)
	last := make([]int, len(b)+1)
	row := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], before[j-2]+1)
			}
		}
		before, last, row = last, row, before
	}
	return min(last[len(b)], limit)
}
