package upgrade

import (
	"fmt"
	"slices"
	"time"
)

// MaxCordoned is the maximum number of cordoned backends.
const MaxCordoned = 4096

// ErrTooManyCordoned is returned by Cordon if MaxCordoned backends are cordoned already.
var ErrTooManyCordoned = fmt.Errorf("more than %d bans", MaxCordoned)

// Cordoned returns the ids of the backends that operators have cordoned, sorted.
func (d *Dir) Cordoned() (ids []string, err error) {
	_, err = d.read(cordonedFile, &ids)
	return ids, err
}

// Cordon saves whether an operator has cordoned a backend. The other process notices it within PollInterval
// after Cordon has returned. For that, a process that has just joined another one first waits, for at most
// settleTime, until the other one has noticed it.
func (d *Dir) Cordon(id string, cordoned bool) error {
	if !d.first {
		time.Sleep(settleTime - time.Since(d.joinedAt))
	}
	return d.locked(func() error {
		ids, err := d.Cordoned()
		if err != nil {
			return err
		}
		at, found := slices.BinarySearch(ids, id)
		switch {
		case found == cordoned:
			return nil
		case cordoned && len(ids) >= MaxCordoned:
			return ErrTooManyCordoned
		case cordoned:
			ids = slices.Insert(ids, at, id)
		default:
			ids = slices.Delete(ids, at, at+1)
		}
		return d.write(cordonedFile, ids)
	})
}
