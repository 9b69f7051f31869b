// Package logquery finds the log lines about one request in the logs of several
// hosts, and prints them in order of time.
//
// # Usage
//
//	var q logquery.Query
//	q.ID = "5c0e7a21d94b36f8"
//	if err := q.Read("host-a.log", file); err != nil {
//		return err
//	}
//	q.Print(os.Stdout)
package logquery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds the length of a log line, in bytes.
const maxLine = 1 << 20

// Query collects the log lines about one request. Set ID before the first Read.
type Query struct {
	ID    string // job ID of the request
	lines []line
}

// line is a log line about the request, or one with a general message.
type line struct {
	at      time.Time
	source  string
	text    string
	fields  map[string]any
	general bool   // one of generalMessages
	crashed string // worker that the line says has crashed
}

// generalMessages holds the messages that concern all requests. Their lines name no
// request, but may explain what happened to one.
var generalMessages = map[string]bool{
	"cell claimed": true, "cell lost": true, "cell handed over": true, "recovery complete": true,
	"store does not answer": true, "store answers again": true,
	"advice does not answer": true, "advice answers again": true, "configuration in force": true,
	"started": true, "stopping": true, "stopped": true, "log lines dropped": true,
}

// crashMessage says that a worker has crashed, with all its runs. Its lines name no request.
const crashMessage = "worker crashed"

// Read adds the lines of one host's log. It skips text before the JSON object of a
// line, and ignores lines without a JSON object.
func (q *Query) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Text()
		i := strings.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(raw[i:]), &fields) != nil {
			continue // not a JSON log line
		}
		q.add(source, fields)
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

// add keeps a line that names the request or has a general message.
func (q *Query) add(source string, fields map[string]any) {
	text, _ := fields["msg"].(string) // "" if missing
	general, crashed := generalMessages[text], ""
	if text == crashMessage && !q.matches(fields) {
		crashed, _ = fields["worker"].(string) // "" if missing
	}
	if !general && crashed == "" && !q.matches(fields) {
		return
	}
	stamp, _ := fields["time"].(string) // a missing time becomes the zero time, which sorts first
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		at = time.Time{}
	}
	for _, key := range []string{"time", "level", "msg"} {
		delete(fields, key)
	}
	q.lines = append(q.lines, line{at, source, text, fields, general, crashed})
}

// matches reports whether a line names the request, one of its steps or one of its
// tasks.
func (q *Query) matches(fields map[string]any) bool {
	for _, key := range []string{"id", "step", "task"} {
		if value, ok := fields[key].(string); ok && (value == q.ID || strings.HasPrefix(value, q.ID+".")) {
			return true
		}
	}
	return false
}

// named reports whether the line names the request.
func (l *line) named() bool { return !l.general && l.crashed == "" }

// Matches returns the number of lines that name the request.
func (q *Query) Matches() int {
	n := 0
	for _, l := range q.lines {
		if l.named() {
			n++
		}
	}
	return n
}

// Print writes the lines in order of time. Lines with a general message are included
// from 5 seconds before the first line that names the request until the last one, and so
// are crashes of workers that the request's lines name.
func (q *Query) Print(w io.Writer) error {
	const contextBefore = 5 * time.Second
	slices.SortStableFunc(q.lines, func(a, b line) int { return a.at.Compare(b.at) })
	first, last := time.Time{}, time.Time{}
	workers := map[any]bool{}
	for _, l := range q.lines {
		if !l.named() {
			continue
		}
		workers[l.fields["worker"]] = true
		if first.IsZero() {
			first = l.at
		}
		last = l.at
	}
	for _, l := range q.lines {
		if !l.named() && (l.at.Before(first.Add(-contextBefore)) || l.at.After(last)) {
			continue
		}
		if l.crashed != "" && !workers[l.crashed] {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s  %+9.3f s  %s: %s%s\n", l.at.Format("15:04:05.000"), l.at.Sub(first).Seconds(), l.source, l.text, formatFields(l.fields)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

// formatFields formats the fields of a line, ordered by name.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		value := fields[name]
		if n, ok := value.(float64); ok && isDuration(name) {
			value = time.Duration(n).Round(time.Millisecond)
		}
		fmt.Fprintf(&b, ", %s %v", name, value)
	}
	return b.String()
}

// isDuration reports whether a field holds a duration in nanoseconds.
func isDuration(name string) bool {
	return slices.Contains([]string{"retryAfter", "wait", "slack", "sinceFirst", "commitAge", "took", "waited", "after", "silent", "leaseLeft", "gain", "age", "youngest"}, name)
}
