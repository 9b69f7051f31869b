package station

import "time"

const (
	// minPatience is the least time that a commit waits for its answer: the store
	// takes 4 ms, and a busy host some tens more.
	minPatience = 60 * time.Millisecond
	// patienceFactor is how many times the usual length of a commit is waited for.
	patienceFactor = 8
	// patienceWeight is the weight of the newest commit in the usual length.
	patienceWeight = 0.125
)

// patience says how long a commit waits for its answer before it is sent once more
// beside. The answer may be lost, and waiting holds up every later commit. The zero
// patience is ready.
type patience struct {
	usual time.Duration // length of a commit that was answered, smoothed
}

// first returns the wait before the second sending. Each later one is twice as
// long, so that in an outage mostSendings are under way at even distances.
func (p *patience) first() time.Duration {
	return min(max(patienceFactor*p.usual, minPatience), storeTimeout)
}

func (p *patience) observe(took time.Duration) {
	p.usual += time.Duration(patienceWeight * float64(took-p.usual))
}
