package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// localityInterval is how long what is known of data centres is used without a new look at the states
// of all hosts. It is short in comparison with the service times of targets.
const localityInterval = 5 * time.Millisecond

// locality is what this host knows of one data centre.
type locality struct {
	dataCentre ident.DataCentre
	// distance is the time by which responses of its targets take longer than local ones, in
	// seconds, if measured is set.
	distance float64
	measured bool
	// stateAge is the mean age of what is known of the load that its hosts put on targets, in
	// seconds.
	stateAge float64
}

// localityOf returns what is known of a data centre.
func (s *Scheduler) localityOf(now time.Time, dc ident.DataCentre) *locality {
	if age := now.Sub(s.localitiesAt); age < 0 || age >= localityInterval {
		s.localities, s.localitiesAt = s.localities[:0], now
	}
	for i := range s.localities {
		if s.localities[i].dataCentre == dc {
			return &s.localities[i]
		}
	}
	distance, measured := s.distance(now, dc)
	s.localities = append(s.localities, locality{
		dataCentre: dc,
		distance:   distance.Seconds(),
		measured:   measured,
		stateAge:   s.stateAge(now, dc, distance).Seconds(),
	})
	return &s.localities[len(s.localities)-1]
}

// stateAge returns the mean age of what is known of the load that the hosts of a data centre put on
// targets. An aggregate consists of states that its sender had received about as long before as this
// host those of its own data centre, and has travelled half of the distance.
func (s *Scheduler) stateAge(now time.Time, dc ident.DataCentre, distance time.Duration) time.Duration {
	if aggregate := s.dcAggregates[dc]; aggregate != nil {
		return now.Sub(aggregate.receivedAt) + distance/2 + s.directStateAge(now, s.dataCentre)
	}
	return s.directStateAge(now, dc) + distance/2
}

// directStateAge returns the mean time since the states of the hosts of a data centre were received
// that send this host their own.
func (s *Scheduler) directStateAge(now time.Time, dc ident.DataCentre) time.Duration {
	count, sum := 0, time.Duration(0)
	for host, peer := range s.peers {
		if s.hostDataCentres[host] == dc {
			count++
			sum += now.Sub(peer.receivedAt)
		}
	}
	if count == 0 && dc != s.dataCentre {
		// Nothing is known, which counts like the oldest valid state.
		return s.stateTTL
	}
	return sum / time.Duration(max(count, 1))
}
