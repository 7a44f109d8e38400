package relay

import "math"

// usualPace is the value of eventMessage.Pace for work that takes its usual time.
const usualPace = 100

// maxEncodedPace is far above what brokers accept.
const maxEncodedPace = 1 << 20

func encodePace(pace float64) int {
	if !(pace > 0 && pace < maxEncodedPace/usualPace) {
		return 0
	}
	return int(math.Round(usualPace * pace))
}

func decodePace(encoded int) float64 { return float64(encoded) / usualPace }

// recordPace records the pace that the endpoint of a slot stated in its answer. It is reported to
// the broker with the first event.
func (s *slotCoordinator) recordPace(sequence uint64, pace float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.held[sequence]; ok {
		h.pace = encodePace(pace)
		s.held[sequence] = h
	}
}
