package station

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
)

// kind says what a host asks of another.
type kind int

const (
	kindGreet  kind = iota + 1 // I am here; do you own the cell?
	kindProbe                  // are you there?
	kindTake                   // the cell is vacant, take it
	kindAdvise                 // call for advice from your address
	kindSubmit
	kindCancel
	kindQuery
	kindCount
)

// request is a call from one entry host to another.
type request struct {
	Kind    kind          `cbor:"1,keyasint"`
	Name    string        `cbor:"2,keyasint,omitempty"`
	Addr    string        `cbor:"3,keyasint,omitempty"`
	Job     *docket.Job   `cbor:"4,keyasint,omitempty"`
	ID      string        `cbor:"5,keyasint,omitempty"` // of a job; the queue for a count; the step for advice; the session that offers the cell
	Workers []string      `cbor:"6,keyasint,omitempty"`
	Relayed bool          `cbor:"7,keyasint,omitempty"`  // do not pass it on
	Left    time.Duration `cbor:"8,keyasint,omitempty"`  // time until the caller stops waiting
	Cores   float64       `cbor:"9,keyasint,omitempty"`  // of a host that greets
	Up      time.Duration `cbor:"10,keyasint,omitempty"` // since its process started
}

// reply answers a request.
type reply struct {
	Owner   bool          `cbor:"1,keyasint,omitempty"` // the host owns the cell
	Age     time.Duration `cbor:"2,keyasint,omitempty"` // of the owner's last confirmed commit
	Head    HeadRow       `cbor:"3,keyasint,omitempty"` // the owner that the host knows
	Outcome Outcome       `cbor:"4,keyasint,omitempty"`
	Advice  cell.Advised  `cbor:"5,keyasint,omitempty"`
	Known   map[string]string
}

// Serve answers another entry host's message.
func (s *Station) Serve(ctx context.Context, m *peer.Message) (*peer.Message, error) {
	s.init()
	var r request
	if err := cbor.Unmarshal(m.Body, &r); err != nil {
		return nil, errors.Wrap(err, "decode peer request")
	}
	body, err := cbor.Marshal(s.serve(ctx, r))
	return &peer.Message{Body: body}, errors.Wrap(err, "encode peer reply")
}

func (s *Station) serve(ctx context.Context, r request) reply {
	switch r.Kind {
	case kindGreet:
		return s.greeted(r)
	case kindProbe:
		return reply{}
	case kindTake:
		return s.asked(ctx, r.ID)
	case kindAdvise:
		return reply{Advice: s.Advise(ctx, r.ID, r.Workers)}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	return reply{Outcome: s.resolve(ctx, r)}
}

// greeted answers a greeting.
func (s *Station) greeted(r request) reply {
	now := s.Now()
	s.lead.meet(r.Name, member{addr: r.Addr, at: now, cores: r.Cores, began: now - r.Up})
	s.lead.mu.Lock()
	defer s.lead.mu.Unlock()
	out := reply{Owner: s.lead.own, Head: s.lead.owner, Known: maps.Clone(s.lead.known)}
	if s.lead.own {
		out.Age = now - s.lead.confirmedAt
	}
	return out
}

// asked takes a cell that is vacant, or whose owner, the session given, cannot
// write to the store while this host can.
func (s *Station) asked(ctx context.Context, session string) reply {
	if s.leaving.Load() || s.Rules() == nil || s.lead.owns() {
		return reply{}
	}
	head, err := s.promptHead(ctx)
	if err == nil && session != "" && head.Session == session && pause.For(ctx, ownerChance) {
		version := head.Version
		if head, err = s.promptHead(ctx); head.Version != version {
			return reply{} // the owner can write again
		}
	}
	if err == nil && (head.Vacant || session != "" && head.Session == session) {
		s.claim(context.WithoutCancel(ctx), head)
	}
	return reply{Owner: s.lead.owns()}
}

// promptHead reads the head, if the store works as usual.
func (s *Station) promptHead(ctx context.Context) (HeadRow, error) {
	ctx, cancel := context.WithTimeout(ctx, storePrompt)
	defer cancel()
	return s.ReadHead(ctx)
}

// greet tells the owner that this host is present, and reports whether it is
// the owner and its commits are fresh.
func (s *Station) greet(ctx context.Context, owner HeadRow, timeout time.Duration) bool {
	out, err := s.callPeer(ctx, owner.Addr, s.greeting(), timeout)
	if err != nil {
		return false
	}
	s.lead.mu.Lock()
	defer s.lead.mu.Unlock()
	for name, addr := range out.Known {
		s.lead.learn(name, addr)
	}
	if s.lead.own {
		return true // it has been handed over meanwhile
	}
	if out.Owner && out.Age < staleCommit {
		s.lead.ownerOK = s.Now()
		s.lead.owner = out.Head
		return true
	}
	if !out.Owner && out.Head.Addr != "" && out.Head.Session != owner.Session && out.Head.Session != s.Session {
		s.lead.owner = out.Head // greeted next time
	}
	return false
}

// greeting tells another host about this one.
func (s *Station) greeting() request {
	return request{Kind: kindGreet, Name: s.Name, Addr: s.Addr, Cores: s.Cores, Up: s.Now() - s.began}
}

// learnOwner asks the other hosts who the owner is; it serves a host that the
// store turns away.
func (s *Station) learnOwner(ctx context.Context) {
	for _, addr := range s.lead.others(s.Name) {
		out, err := s.callPeer(ctx, addr, s.greeting(), greetTimeout)
		if err != nil || out.Head.Addr == "" || out.Head.Session == s.Session {
			continue
		}
		s.lead.hear(out.Head)
		return
	}
}

// adviseFrom has another host call for advice.
func (s *Station) adviseFrom(ctx context.Context, o cell.Ask) cell.Advised {
	out, err := s.callPeer(ctx, s.lead.memberAddr(o.Host), request{Kind: kindAdvise, ID: o.Step, Workers: o.Workers}, adviceTimeout)
	if err != nil {
		s.Log.Debug("advice from another host failed", "host", o.Host, "step", o.Step, "error", err)
		return cell.Advised{Failure: cell.NoAnswer}
	}
	return out.Advice
}

// callPeer sends a request to the host at addr.
func (s *Station) callPeer(ctx context.Context, addr string, r request, timeout time.Duration) (reply, error) {
	var out reply
	body, err := cbor.Marshal(r)
	if err != nil {
		return out, errors.Wrap(err, "encode peer request")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := s.peers.Call(ctx, addr, body)
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(cbor.Unmarshal(answer, &out), "decode peer reply")
}
