// Package digest is the stored form of what an owner has learned: it lets a successor
// begin with the speeds, run times, shares and promises of the owner before it. It
// answers the load pattern of a takeover in a burst.
//
// A row holds a format version, a date and the state. It takes at most [MaxBytes],
// whatever the size of the fleet: ratios and speeds are stored on logarithmic scales of
// one byte, and what does not fit is left out, callers first.
//
// # Usage
//
//	value, err := state.Encode(wall)
//	state, writtenAt, err := digest.Decode(value)
package digest

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/promise"
)

const (
	// MaxBytes is the maximum size of a row. The store accepts 64 KB in base64.
	MaxBytes = 40_000
	// formatVersion changes when older daemons would misread the state.
	formatVersion = 1
	// maxSpeeds leaves half of a row to the other parts on the largest fleets.
	maxSpeeds = 4000
	// headerBytes allows for the version, the date and the frame of the state.
	headerBytes = 64
	// speedBytes, queueBytes, teamBytes and callerBytes are what an entry takes at most
	// without its texts and samples.
	speedBytes, queueBytes, teamBytes, callerBytes = 5, 24, 16, 48
	// maxCallerTime bounds the times of callers.
	maxCallerTime = time.Hour
	// maxDemand bounds the work and cores of a caller.
	maxDemand = 1e9
)

var (
	ratios = logScale{0.001, 100}
	speeds = logScale{1.0 / 16, 16}

	encoder = must(cbor.CanonicalEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 12, MaxMapPairs: 1 << 12, MaxNestedLevels: 8}.DecMode())
)

// State is what an owner has learned. Each part is optional.
type State struct {
	Speeds  map[uint32]float64 // speed relative to the usual one, by [WorkerKey]
	Queues  map[string]Queue
	Shares  map[string]float64 // decayed dominant use by team, from 0 to 1
	Callers []promise.Caller   // with times relative to the date of the row
	Limit   int                // maximum size of the row in bytes, if below MaxBytes; 0: MaxBytes
}

// Queue is what is known of a queue's jobs.
type Queue struct {
	Runs     []float64 // sample of the ratios of run times to estimates
	Peers    []float64 // sample of the work of tasks relative to the median of their step
	Eligible float64   // share of workers that may run a step; 0 if unknown
}

// WorkerKey identifies an incarnation of a worker.
func WorkerKey(id string, startedAt int64) uint32 {
	h := fnv.New32a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(id), uint64(startedAt))) // never fails
	return h.Sum32()
}

// row is the stored form. Its state is opaque to daemons that know only older versions.
type row struct {
	Version   int    `cbor:"1,keyasint"`
	WrittenAt int64  `cbor:"2,keyasint"` // Unix milliseconds
	State     []byte `cbor:"3,keyasint"`
}

type storedState struct {
	Speeds  []byte                 `cbor:"1,keyasint,omitempty"` // by key: its 4 bytes, then the speed
	Queues  map[string]storedQueue `cbor:"2,keyasint,omitempty"`
	Shares  map[string]float32     `cbor:"3,keyasint,omitempty"`
	Callers []storedCaller         `cbor:"4,keyasint,omitempty"`
}

type storedQueue struct {
	Runs     []byte  `cbor:"1,keyasint,omitempty"`
	Peers    []byte  `cbor:"2,keyasint,omitempty"`
	Eligible float32 `cbor:"3,keyasint,omitempty"`
}

// storedCaller holds a promise.Caller with its times in milliseconds.
type storedCaller struct {
	_                            struct{} `cbor:",toarray"`
	Job, Team                    string
	Rank                         int
	Work, Cores                  float32
	FirstSeen, ReturnAt, LastUse int64
}

// Empty reports whether nothing has been learned.
func (s *State) Empty() bool {
	return len(s.Speeds) == 0 && len(s.Queues) == 0 && len(s.Shares) == 0 && len(s.Callers) == 0
}

// Encode returns the row of a state as of the given time. Equal states have equal rows
// but for the date.
func (s *State) Encode(at time.Time) ([]byte, error) {
	left := min(cmp.Or(s.Limit, MaxBytes), MaxBytes) - headerBytes
	fits := func(size int) bool {
		if size > left {
			return false
		}
		left -= size
		return true
	}
	stored := storedState{Queues: map[string]storedQueue{}, Shares: map[string]float32{}}
	for _, key := range slices.Sorted(maps.Keys(s.Speeds)) {
		if len(stored.Speeds) < maxSpeeds*speedBytes && fits(speedBytes) {
			stored.Speeds = append(binary.BigEndian.AppendUint32(stored.Speeds, key), speeds.code(s.Speeds[key]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Queues)) {
		if q := s.Queues[name]; fits(queueBytes + len(name) + len(q.Runs) + len(q.Peers)) {
			stored.Queues[name] = storedQueue{Runs: ratios.codes(q.Runs), Peers: ratios.codes(q.Peers), Eligible: float32(q.Eligible)}
		}
	}
	for _, team := range slices.Sorted(maps.Keys(s.Shares)) {
		if fits(teamBytes + len(team)) {
			stored.Shares[team] = float32(s.Shares[team])
		}
	}
	callers := slices.Clone(s.Callers)
	slices.SortFunc(callers, byUse)
	for _, c := range callers {
		if fits(callerBytes + len(c.Job) + len(c.Team)) {
			stored.Callers = append(stored.Callers, storedCaller{Job: c.Job, Team: c.Team, Rank: c.Rank, Work: float32(c.Work), Cores: float32(c.Cores), FirstSeen: c.FirstSeen.Milliseconds(), ReturnAt: c.ReturnAt.Milliseconds(), LastUse: c.LastUse.Milliseconds()})
		}
	}
	state, err := encoder.Marshal(stored)
	if err != nil {
		return nil, errors.Wrap(err, "encode learned state")
	}
	value, err := encoder.Marshal(row{Version: formatVersion, WrittenAt: at.UnixMilli(), State: state})
	return value, errors.Wrap(err, "encode learned state")
}

// byUse orders callers that have a place first, then by rank and return.
func byUse(a, b promise.Caller) int {
	place := func(c promise.Caller) int {
		if c.Work > 0 {
			return 0
		}
		return 1
	}
	return cmp.Or(place(a)-place(b), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ReturnAt, b.ReturnAt), cmp.Compare(a.Job, b.Job))
}

// Same reports whether two rows hold the same state, whatever their dates.
func Same(a, b []byte) bool {
	var ra, rb row
	return decoder.Unmarshal(a, &ra) == nil && decoder.Unmarshal(b, &rb) == nil && ra.Version == rb.Version && bytes.Equal(ra.State, rb.State)
}

// Decode returns the state of a row and the time at which it was written. The time is
// valid as well if the state is of a newer format version, which is an error.
func Decode(value []byte) (*State, time.Time, error) {
	if len(value) > MaxBytes {
		return nil, time.Time{}, errors.Newf("digest: row of %d bytes", len(value))
	}
	var r row
	if err := decoder.Unmarshal(value, &r); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "decode learned state")
	}
	at := time.UnixMilli(r.WrittenAt)
	if r.Version != formatVersion {
		return nil, at, errors.Newf("digest: format version %d", r.Version)
	}
	var stored storedState
	if err := decoder.Unmarshal(r.State, &stored); err != nil {
		return nil, at, errors.Wrap(err, "decode learned state")
	}
	s, err := stored.state()
	return s, at, err
}

// state returns the decoded state, or an error if a value is out of bounds.
func (s *storedState) state() (*State, error) {
	if len(s.Speeds)%speedBytes != 0 {
		return nil, errors.New("digest: incomplete speeds")
	}
	out := &State{Speeds: map[uint32]float64{}, Queues: map[string]Queue{}, Shares: map[string]float64{}}
	for entry := range slices.Chunk(s.Speeds, speedBytes) {
		out.Speeds[binary.BigEndian.Uint32(entry)] = speeds.value(entry[4])
	}
	for name, q := range s.Queues {
		if !within(q.Eligible, 1) {
			return nil, errors.Newf("digest: eligible share %g", q.Eligible)
		}
		out.Queues[name] = Queue{Runs: ratios.values(q.Runs), Peers: ratios.values(q.Peers), Eligible: float64(q.Eligible)}
	}
	for team, share := range s.Shares {
		if !within(share, 1) {
			return nil, errors.Newf("digest: share %g", share)
		}
		out.Shares[team] = float64(share)
	}
	for _, c := range s.Callers {
		times := [3]time.Duration{}
		for i, ms := range [...]int64{c.FirstSeen, c.ReturnAt, c.LastUse} {
			if limit := maxCallerTime.Milliseconds(); ms < -limit || ms > limit {
				return nil, errors.Newf("digest: caller's time %d ms", ms)
			}
			times[i] = time.Duration(ms) * time.Millisecond
		}
		if !within(c.Work, maxDemand) || !within(c.Cores, maxDemand) {
			return nil, errors.Newf("digest: caller's work %g, cores %g", c.Work, c.Cores)
		}
		out.Callers = append(out.Callers, promise.Caller{Job: c.Job, Team: c.Team, Rank: c.Rank, Work: float64(c.Work), Cores: float64(c.Cores), FirstSeen: times[0], ReturnAt: times[1], LastUse: times[2]})
	}
	return out, nil
}

// within reports whether v is a number from 0 to limit.
func within(v, limit float32) bool { return v >= 0 && v <= limit }

// logScale maps values between its bounds to bytes, with equal ratios between steps.
type logScale struct{ low, high float64 }

func (l logScale) code(v float64) byte {
	v = min(l.high, max(l.low, v))
	return byte(math.Round(math.MaxUint8 * math.Log(v/l.low) / math.Log(l.high/l.low)))
}

func (l logScale) value(code byte) float64 {
	return l.low * math.Pow(l.high/l.low, float64(code)/math.MaxUint8)
}

func (l logScale) codes(values []float64) []byte {
	codes := make([]byte, len(values))
	for i, v := range values {
		codes[i] = l.code(v)
	}
	return codes
}

func (l logScale) values(codes []byte) []float64 {
	values := make([]float64, len(codes))
	for i, code := range codes {
		values[i] = l.value(code)
	}
	return values
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
