package station

import (
	"context"
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/pause"
)

const (
	// orderTimeout bounds a start or a stop: an answer takes a few milliseconds, and
	// a lost packet is sent again after some 200 ms. A start that was carried out all
	// the same is found in the worker's next report.
	orderTimeout = 350 * time.Millisecond
	// lookSlack is added to the time that a look asks the worker to wait, as for
	// orders.
	lookSlack = 350 * time.Millisecond
	// adviceTimeout bounds a call for advice, which may wait behind others.
	adviceTimeout = 4 * time.Second
	// storeTimeout bounds a call to the store. One takes 4 ms, and when the
	// store is slow some hundred times as long.
	storeTimeout = time.Second
	// mostSendings is how many sendings of a commit may be without an answer.
	mostSendings = 3
	// commitRetry is the pause before a commit without an answer is sent again.
	commitRetry = 50 * time.Millisecond
	// followRetry is the pause after the rules could not be read.
	followRetry = 200 * time.Millisecond
	// listEvery is the time between two readings of the workers' list: well
	// below the time within which a worker that drains must get nothing new.
	listEvery = 400 * time.Millisecond
)

// commitOrder is a commit for the goroutine that writes them in order.
type commitOrder struct {
	commit cell.Commit
	resign chan<- bool // hand the cell over instead
}

// perform carries an effect out on another goroutine.
func (s *Station) perform(ctx context.Context, effect any) {
	switch e := effect.(type) {
	case cell.Commit:
		select {
		case s.commits <- commitOrder{commit: e}:
		case <-ctx.Done():
		}
	case cell.Start:
		s.Counts.Starts.Add(1)
		go s.sendStart(ctx, e)
	case cell.Stop:
		go s.sendStop(ctx, e)
	case cell.Look:
		s.Counts.Looks.Add(1)
		go s.sendLook(ctx, e)
	case cell.Ask:
		s.Counts.Advice.Add(1)
		go s.sendAsk(ctx, e)
	case cell.Waited:
		s.Counts.Waited.Observe(e.For)
	case cell.Abdicate:
		s.lead.setOwner(HeadRow{})
	case cell.Note:
		s.Log.LogAttrs(ctx, e.Level, e.Text, e.Attrs...)
	default:
		s.Log.Error("effect has no performer", slog.Any("effect", effect))
	}
}

// sendStart sends a start, unless the ownership that it relies on is over. The
// clock is read just before: the process may have been paused meanwhile.
func (s *Station) sendStart(ctx context.Context, o cell.Start) {
	if s.Now() > o.NotAfter {
		s.post(ctx, cell.Started{Worker: o.Worker, Task: o.Task, Run: o.Run, Received: s.Now(), Failure: cell.NotSent})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	done := s.Start(ctx, o)
	done.Worker, done.Task, done.Run, done.Received = o.Worker, o.Task, o.Run, s.Now()
	s.post(context.WithoutCancel(ctx), done)
}

func (s *Station) sendStop(ctx context.Context, o cell.Stop) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	done := s.Stop(ctx, o)
	done.Worker, done.Task, done.Run, done.Received = o.Worker, o.Task, o.Run, s.Now()
	s.post(context.WithoutCancel(ctx), done)
}

func (s *Station) sendLook(ctx context.Context, o cell.Look) {
	if s.Now() > o.NotAfter {
		o.LeaseUntil = 0
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait+lookSlack)
	defer cancel()
	sent := s.Now()
	done := s.Look(ctx, o)
	done.Worker, done.Sent, done.Received = o.Worker, sent, s.Now()
	s.post(context.WithoutCancel(ctx), done)
}

// sendAsk calls for advice from the host that the cell chose.
func (s *Station) sendAsk(ctx context.Context, o cell.Ask) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	var done cell.Advised
	if o.Host == s.Name {
		done = s.Advise(ctx, o.Step, o.Workers)
	} else {
		done = s.adviseFrom(ctx, o)
	}
	done.Host, done.Step = o.Host, o.Step
	s.post(context.WithoutCancel(ctx), done)
}

// writeCommits writes commits in order, each until its fate is known.
func (s *Station) writeCommits(ctx context.Context) {
	for {
		select {
		case order := <-s.commits:
			if order.resign != nil {
				order.resign <- s.writeVacancy(ctx)
				continue
			}
			s.writeCommit(ctx, order.commit)
		case <-ctx.Done():
			return
		}
	}
}

// written is what became of one sending of a commit.
type written struct {
	sent    cell.Instant
	version uint64
	stands  *HeadRow
	err     error
}

// writeCommit writes one commit. Sending it again, also beside an earlier sending,
// is safe: it takes effect once, as it changes the version that it is conditional
// on.
func (s *Station) writeCommit(ctx context.Context, commit cell.Commit) {
	head, owned := s.lead.nextHead(commit.Seq)
	if !owned {
		return
	}
	s.Counts.Commits.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // sendings that are no longer waited for
	results := make(chan written, mostSendings)
	under := 0 // sendings without an answer
	send := func() {
		under++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			w := written{sent: s.Now()}
			w.version, w.stands, w.err = s.Write(callCtx, head.Version, head.Head, commit.Puts, commit.Drops)
			results <- w
		}()
	}
	began := s.Now()
	wait := s.patience.first()
	again := time.NewTimer(wait)
	defer again.Stop()
	for send(); ; {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			if under < mostSendings {
				s.Counts.Resent.Add(1)
				send()
			}
			wait = min(2*wait, storeTimeout/mostSendings)
			again.Reset(wait)
		case w := <-results:
			under--
			if w.err == nil {
				s.settle(ctx, head, began, w)
				return
			}
			s.lead.commitFailed(s, w.err)
			if under == 0 {
				pause.For(ctx, commitRetry)
				send()
			}
		}
	}
}

// settle takes the store's answer to one of a commit's sendings, the first of which
// was made at the time given.
func (s *Station) settle(ctx context.Context, head HeadRow, began cell.Instant, w written) {
	if w.stands != nil {
		if w.stands.Session != s.Session || w.stands.Seq != head.Seq || w.stands.Token != head.Token {
			s.deposed(ctx, head.Token, *w.stands)
			return
		}
		w.version = w.stands.Version // another sending took effect
	}
	s.patience.observe(s.Now() - w.sent)
	s.lead.confirmed(s, w.version, began)
	s.Counts.Commit.Observe(s.Now() - began)
	s.post(ctx, cell.Committed{Seq: head.Seq, Sent: began})
}

// writeVacancy gives the cell up in the store.
func (s *Station) writeVacancy(ctx context.Context) bool {
	head, owned := s.lead.nextHead(0)
	if !owned {
		return false
	}
	head.Vacant = true
	s.lead.setOwner(HeadRow{})
	s.post(ctx, cell.Deposed{Reason: "handed over"})
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, _, err := s.Write(callCtx, head.Version, head.Head, nil, nil)
	if err != nil {
		s.Log.Warn("cell not handed over", "error", err)
	}
	return err == nil
}
