// Package inquiry finds what was decided on one request in the logs of several
// hosts, and tells it in order.
//
// # Usage
//
//	var q inquiry.Inquiry
//	q.ID = "5c0e7a21d94b36f8"
//	if err := q.Read("host-a.log", file); err != nil {
//		return err
//	}
//	q.Tell(os.Stdout)
package inquiry

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

// maxLine bounds a log line.
const maxLine = 1 << 20

// Inquiry collects the lines about one request. Set ID before the first Read.
type Inquiry struct {
	ID    string
	lines []line
}

// line is one log line about the request, or about something that concerns all.
type line struct {
	at     time.Time
	source string
	text   string
	fields map[string]any
	common bool
}

// concernsAll are messages that explain requests that they do not name.
var concernsAll = map[string]bool{
	"cell claimed": true, "cell lost": true, "cell handed over": true, "recovery complete": true,
	"store does not answer": true, "store answers again": true,
	"advice does not answer": true, "advice answers again": true, "configuration in force": true,
	"started": true, "stopping": true, "stopped": true, "log lines dropped": true,
}

// Read adds the lines of one host's log. Text before the JSON object of a line
// is skipped; lines without one are ignored.
func (q *Inquiry) Read(source string, r io.Reader) error {
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
			continue // not a line of ours
		}
		q.take(source, fields)
	}
	return errors.Wrapf(scanner.Err(), "read %s", source)
}

func (q *Inquiry) take(source string, fields map[string]any) {
	text, _ := fields["msg"].(string) // "" if it is missing
	common := concernsAll[text]
	if !common && !q.names(fields) {
		return
	}
	stamp, _ := fields["time"].(string) // the zero time sorts first
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		at = time.Time{}
	}
	for _, known := range []string{"time", "level", "msg"} {
		delete(fields, known)
	}
	q.lines = append(q.lines, line{at, source, text, fields, common})
}

// names reports whether a line names the request, one of its steps or tasks.
func (q *Inquiry) names(fields map[string]any) bool {
	for _, key := range []string{"id", "step", "task"} {
		if value, ok := fields[key].(string); ok && (value == q.ID || strings.HasPrefix(value, q.ID+".")) {
			return true
		}
	}
	return false
}

// Found returns how many lines name the request.
func (q *Inquiry) Found() int {
	n := 0
	for _, l := range q.lines {
		if !l.common {
			n++
		}
	}
	return n
}

// Tell writes the lines in order of time, with what concerns all hosts between
// the first and the last that names the request, or shortly before.
func (q *Inquiry) Tell(w io.Writer) error {
	const before = 5 * time.Second
	slices.SortStableFunc(q.lines, func(a, b line) int { return a.at.Compare(b.at) })
	first, last := time.Time{}, time.Time{}
	for _, l := range q.lines {
		if l.common {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
	}
	for _, l := range q.lines {
		if l.common && (l.at.Before(first.Add(-before)) || l.at.After(last)) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s  %+9.3f s  %s: %s%s\n", l.at.Format("15:04:05.000"), l.at.Sub(first).Seconds(), l.source, l.text, details(l.fields)); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}

// details lists a line's fields in order of their names.
func details(fields map[string]any) string {
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

// isDuration reports whether a field is logged in nanoseconds.
func isDuration(name string) bool {
	return slices.Contains([]string{"retryAfter", "wait", "slack", "commitAge", "took", "waited", "after", "silent"}, name)
}
