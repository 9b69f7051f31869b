package station

import (
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
)

const (
	// pumpGap is the least time between two rounds of placement, and between two
	// flushes.
	pumpGap = 5 * time.Millisecond
	// pumpShare bounds the time that rounds take: after one, this many times its
	// length passes before the next, so that callers are still answered when much
	// waits.
	pumpShare = 4
	// maxPause bounds that time: a round also looks long if the host stood still in
	// it, and what only rounds do, as sending stops again, must not wait for seconds.
	maxPause = 500 * time.Millisecond
	// idlePump is the time between rounds of placement when nothing happens.
	idlePump = 20 * time.Millisecond
)

// pace says when the cell's next round of placement and its next flush are due. A
// round is the longer the more waits, a flush is not; so flushes go on between
// rounds that are far apart.
type pace struct {
	round cell.Instant
	flush cell.Instant
}

// event returns what is due, or nil.
func (p *pace) event(now cell.Instant) any {
	switch {
	case now >= p.round:
		return cell.Pump{}
	case now >= p.flush:
		return cell.Flush{}
	default:
		return nil
	}
}

// next returns when something is due.
func (p *pace) next() cell.Instant { return min(p.round, p.flush) }

// done notes that an event has been applied. A round flushes too.
func (p *pace) done(event any, began, ended cell.Instant) {
	if _, round := event.(cell.Pump); round {
		p.round = began + max(pumpGap, min(pumpShare*(ended-began), ended-began+maxPause))
	}
	p.flush = ended + pumpGap
}
