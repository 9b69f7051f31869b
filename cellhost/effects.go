package cellhost

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/pause"
)

const (
	// commandTimeout bounds a start or a stop command to a worker. An answer takes a few
	// milliseconds, and a lost packet is retransmitted after about 200 ms. A start
	// that took effect although its answer was lost appears in the worker's next
	// report.
	commandTimeout = 350 * time.Millisecond
	// pollMargin is added to the time that a poll asks the worker to wait. It equals
	// commandTimeout for the same reasons.
	pollMargin = 350 * time.Millisecond
	// adviceTimeout bounds a call to the advice service, which may queue behind other
	// calls.
	adviceTimeout = 4 * time.Second
	// storeTimeout bounds a call to the store. A call takes 4 ms, and about a hundred
	// times as long when the store is slow.
	storeTimeout = time.Second
	// maxParallelWrites bounds the unanswered writes of one commit.
	maxParallelWrites = 3
	// commitRetryDelay is the wait before a failed commit is sent again.
	commitRetryDelay = 50 * time.Millisecond
	// rulesRetryDelay is the wait after a failed read of the rules.
	rulesRetryDelay = 200 * time.Millisecond
	// workerListInterval is the time between two reads of the worker list. It is well
	// below the time within which a draining worker must stop getting new tasks.
	workerListInterval = 400 * time.Millisecond
)

// writeRequest asks the goroutine that writes commits to write a commit or to give the
// cell up. Requests are handled in order.
type writeRequest struct {
	commit cell.Commit
	resign chan<- bool // if set, give the cell up instead; receives whether the store confirmed it
}

// perform carries out an effect of the cell. Calls to other systems run on other
// goroutines.
func (h *Host) perform(ctx context.Context, effect any) {
	switch e := effect.(type) {
	case cell.Commit:
		select {
		case h.commits <- writeRequest{commit: e}:
		case <-ctx.Done():
		}
	case cell.Start:
		h.Counts.Starts.Add(1)
		if at := h.claimedAt.Swap(0); at > 0 {
			h.Counts.FirstStart.Observe(h.Now() - cell.Instant(at))
		}
		h.dispatch(ctx, e.Worker, e)
	case cell.Stop:
		h.dispatch(ctx, e.Worker, e)
	case cell.Poll:
		h.Counts.WorkerPolls.Add(1)
		h.dispatch(ctx, e.Worker, e)
	case cell.RequestAdvice:
		h.Counts.Advice.Add(1)
		go h.requestAdvice(ctx, e)
	case cell.FirstStartDelay:
		h.Counts.Waited.Observe(e.For)
	case cell.OwnershipLost:
		h.ownership.setOwner(HeadRow{})
	case cell.LogRecord:
		h.Log.LogAttrs(ctx, e.Level, e.Text, e.Attrs...)
	default:
		h.Log.Error("effect has no handler", slog.Any("effect", effect))
	}
}

// sendDirect sends a command to its worker and posts the outcome.
func (h *Host) sendDirect(ctx context.Context, cmd any, before cell.Instant) {
	h.post(context.WithoutCancel(ctx), h.command(ctx, cmd, before))
}

// command carries out a command to a worker and returns its outcome. It reads the clock
// immediately before the call, because the process may have been suspended since the
// cell returned the command: a start is not sent, and a poll acknowledges nothing, after the
// given time; nor is a start sent, or a lease renewed, when the ownership that they rely on
// has expired.
func (h *Host) command(ctx context.Context, cmd any, before cell.Instant) any {
	switch c := cmd.(type) {
	case cell.Start:
		done := cell.Started{Failure: cell.Withheld}
		if h.Now() <= min(c.NotAfter, before) {
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			done = h.Start(ctx, c)
		}
		done.Token, done.Worker, done.Task, done.Run, done.Received = c.Token, c.Worker, c.Task, c.Run, h.Now()
		return done
	case cell.Stop:
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		done := h.Stop(ctx, c)
		done.Token, done.Worker, done.Task, done.Run, done.Received = c.Token, c.Worker, c.Task, c.Run, h.Now()
		return done
	case cell.Poll:
		sent := h.Now()
		if sent > c.NotAfter {
			c.LeaseUntil = 0
		}
		if sent > before {
			c.Ack = 0
		}
		ctx, cancel := context.WithTimeout(ctx, c.Wait+pollMargin)
		defer cancel()
		done := h.Poll(ctx, c)
		done.Token, done.Worker, done.Sent, done.Received, done.Ack = c.Token, c.Worker, sent, h.Now(), c.Ack
		return done
	default:
		panic(fmt.Sprintf("cellhost: %T is not a command", cmd))
	}
}

// requestAdvice asks the advice service, through the host that the cell chose.
func (h *Host) requestAdvice(ctx context.Context, req cell.RequestAdvice) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	var done cell.AdviceResult
	if req.Host == h.Name {
		done = h.Advise(ctx, req.Step, req.Workers)
	} else {
		done = h.adviseViaPeer(ctx, req)
	}
	done.Host, done.Step = req.Host, req.Step
	h.post(context.WithoutCancel(ctx), done)
}

// writeCommits writes commits in order. Each is retried until its result is known.
func (h *Host) writeCommits(ctx context.Context) {
	for {
		select {
		case r := <-h.commits:
			if r.resign != nil {
				r.resign <- h.writeVacancy(ctx)
				continue
			}
			h.writeCommit(ctx, r.commit)
		case <-ctx.Done():
			return
		}
	}
}

// writeResult is the result of one write of a commit.
type writeResult struct {
	sent    cell.Instant
	version uint64   // new version of the head row
	current *HeadRow // current head row, if the version differed
	err     error
}

// writeCommit writes one commit. Repeating the write, even in parallel, is safe: each
// write is conditional on the version of the head row, which the first successful one
// changes.
func (h *Host) writeCommit(ctx context.Context, commit cell.Commit) {
	head, owned := h.ownership.nextHead(commit.Seq)
	if !owned || head.Token != commit.Token {
		return // another owner may have written since the commit was made
	}
	h.Counts.Commits.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the writes that are no longer needed
	results := make(chan writeResult, maxParallelWrites)
	unanswered := 0 // number of writes without an answer
	send := func() {
		unanswered++
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			w := writeResult{sent: h.Now()}
			w.version, w.current, w.err = h.Write(callCtx, head.Version, head.Head, commit.Puts, commit.Drops)
			results <- w
		}()
	}
	start := h.Now()
	wait := h.resendDelay.initial()
	resendTimer := time.NewTimer(wait)
	defer resendTimer.Stop()
	for send(); ; {
		select {
		case <-ctx.Done():
			return
		case <-resendTimer.C:
			if unanswered < maxParallelWrites {
				h.Counts.Resent.Add(1)
				send()
			}
			wait = min(2*wait, storeTimeout/maxParallelWrites)
			resendTimer.Reset(wait)
		case w := <-results:
			unanswered--
			if w.err == nil {
				h.handleAnswer(ctx, head, start, w)
				return
			}
			if errors.Is(w.err, ErrRowsRejected) {
				h.post(ctx, cell.CommitRejected{Token: head.Token, Seq: head.Seq, Reason: w.err.Error()})
				return
			}
			h.ownership.commitFailed(h, w.err)
			if unanswered == 0 {
				pause.Sleep(ctx, commitRetryDelay)
				send()
			}
		}
	}
}

// handleAnswer handles the store's answer to one write of a commit. The first write of
// the commit was sent at the given time.
func (h *Host) handleAnswer(ctx context.Context, head HeadRow, start cell.Instant, w writeResult) {
	if w.current != nil {
		if w.current.Session != h.Session || w.current.Seq != head.Seq || w.current.Token != head.Token {
			h.loseOwnership(ctx, head.Token, *w.current)
			return
		}
		w.version = w.current.Version // another write of the same commit took effect
	}
	h.resendDelay.observe(h.Now() - w.sent)
	h.ownership.commitConfirmed(h, head.Token, w.version, start)
	h.Counts.Commit.Observe(h.Now() - start)
	h.post(ctx, cell.Committed{Token: head.Token, Seq: head.Seq, Sent: start})
}

// writeVacancy marks the cell as vacant in the store and reports whether the store
// confirmed it.
func (h *Host) writeVacancy(ctx context.Context) bool {
	head, owned := h.ownership.nextHead(0)
	if !owned {
		return false
	}
	head.Vacant = true
	h.ownership.setOwner(HeadRow{})
	h.post(ctx, cell.Deposed{Reason: "handed over"})
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, _, err := h.Write(callCtx, head.Version, head.Head, nil, nil)
	if err != nil {
		h.Log.Warn("cell not handed over", "error", err)
	}
	return err == nil
}
