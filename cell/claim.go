package cell

import "time"

const (
	// claimGrace is how much later than expected the workers of a gang's claim may have
	// room, at least.
	claimGrace = time.Second
	// claimPause is how long a gang whose claim has lapsed makes no other. It is longer than
	// a call for advice, so that gangs that have room start meanwhile.
	claimPause = 2 * time.Second
)

// claim is a gang's claim to the workers that are expected to have room for it first. Where
// they do not have it in time although the fleet is mostly free, because other steps take it
// or workers fail, the claim lapses: the room that they have is of more use to others.
type claim struct {
	madeAt     Instant // 0: none
	expectedAt Instant // when the workers were to have room, as estimated then
	lapsedAt   Instant // when the last claim lapsed; 0: none did
}

// renew continues the claim, or makes one to workers that have room at the given time. It
// reports whether the gang has a claim.
func (cl *claim) renew(now, at Instant) bool {
	if cl.lapsedAt > 0 && now < cl.lapsedAt+claimPause {
		return false
	}
	if cl.madeAt == 0 {
		cl.madeAt, cl.expectedAt = now, at
	}
	if now <= cl.expectedAt+max(claimGrace, cl.expectedAt-cl.madeAt) {
		return true
	}
	*cl = claim{lapsedAt: now}
	return false
}
