package limits

import "math"

const (
	// levelsOf is how many of the last requests give the levels: enough for steps of one or two in a hundred, few
	// enough to follow within a second or two what a light agent is asked.
	levelsOf = 64
	// rowLeast and dueMost bound a row of refused requests: there are that many, and of the row the part would
	// have let pass dueMost. By chance alone 7 in 100 rows are as long where four in five are refused; requests of
	// little worth come in rows, too, but hardly ever so many.
	rowLeast, dueMost = 12, 2.4
)

// LoadShedder refuses the part of the requests that are worth least, by what the last ones were worth: admission by
// priority as in DAGOR (Zhou et al., SoCC 2018), with the levels taken from the requests themselves. What they are
// worth moves meanwhile: while it falls each request is worth less than all before it, and by its level alone none
// would pass. Therefore at most max(rowLeast, dueMost/(1-part)) are refused in a row, whatever they are worth: who
// lets nothing pass learns nothing, and never has reason to refuse less. The zero value has seen none.
type LoadShedder struct {
	worth [levelsOf]float64
	seen  int
	row   int     // requests refused in a row
	due   float64 // how many of them the part would have let pass
}

// Sheds notes a request's worth and tells whether it is among the given part, 0 to 1, that is worth least. Of
// requests of like worth chance, 0 to 1, decides. A worth that is no number counts as the least.
func (l *LoadShedder) Sheds(worth, part, chance float64) bool {
	if math.IsNaN(worth) {
		worth = math.Inf(-1)
	}
	n := min(l.seen, levelsOf)
	less, same := 0.0, 0.0
	if part > 0 {
		for _, w := range l.worth[:n] {
			switch {
			case w < worth:
				less++
			case w == worth:
				same++
			}
		}
	}
	l.worth[l.seen%levelsOf] = worth
	l.seen++
	if l.seen == 2*levelsOf {
		l.seen = levelsOf
	}
	let := l.row >= rowLeast && l.due >= dueMost-1e-9
	if part > 0 && !let && less+chance*(same+1) < part*float64(n+1) {
		l.row++
		l.due += max(1-part, 0)
		return true
	}
	l.row, l.due = 0, 0
	return false
}
