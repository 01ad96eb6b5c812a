// Package explanation finds the log lines of one request and describes its way and its outcome in words.
//
// The command explain uses it. It reads the lines that package runner writes; the fields and outcomes are documented in
// docs/operations/platform.md.
package explanation

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	maxLineBytes = 1 << 20
	// maxLines limits the lines of one request that are kept.
	maxLines = 1000
)

// Line is one log line of a request.
type Line struct {
	Time     time.Time     `json:"ts"`
	Instance string        `json:"instance"`
	Message  string        `json:"msg"`
	ID       string        `json:"request-id"`
	Status   int           `json:"status"`
	Reason   string        `json:"reason"`
	Route    string        `json:"route"`
	Revision int64         `json:"revision"`
	Took     float64       `json:"took"`      // in seconds
	ViewAge  float64       `json:"view-age"`  // in seconds
	TimeLeft float64       `json:"time-left"` // of the caller, in seconds
	Missing  int           `json:"missing"`
	Shards   int           `json:"shards"`
	Answered int           `json:"answered"`
	Late     int           `json:"late"`
	Pause    float64       `json:"pause"` // in seconds
	Error    string        `json:"error"`
	Upstream string        `json:"upstream"`
	Attempts string        `json:"attempts"`
	Hedges   []json.Number `json:"hedge-after"`
}

// Explanation is the log lines of one request.
type Explanation struct {
	id    string
	lines []Line
}

// New returns an empty explanation of the request with the given identifier.
func New(id string) *Explanation { return &Explanation{id: id} }

// Read adds the lines of the request from r. Text before the first brace of a line is ignored, and so are lines that are not JSON.
func (e *Explanation) Read(r io.Reader) error {
	id := []byte(e.id)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, id) {
			continue
		}
		var l Line
		if json.Unmarshal(text[start:], &l) == nil && l.ID == e.id && len(e.lines) < maxLines {
			e.lines = append(e.lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log lines: %w", err)
	}
	return nil
}

// IsEmpty reports whether no line was found.
func (e *Explanation) IsEmpty() bool { return len(e.lines) == 0 }

// Write writes the lines in the order of their times, in words.
func (e *Explanation) Write(w io.Writer) error {
	slices.SortStableFunc(e.lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance)) })
	for _, l := range e.lines {
		if _, err := io.WriteString(w, l.describe()); err != nil {
			return err
		}
	}
	return nil
}

// describe returns the line in words, with a line for each attempt.
func (l Line) describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: ", l.Time.UTC().Format("15:04:05.000"), l.Instance)
	switch l.Message {
	case "request":
		fmt.Fprintf(&b, "answered %d after %s", l.Status, milliseconds(l.Took))
		if l.Reason != "" {
			fmt.Fprintf(&b, ": %s", l.Reason)
		}
		if l.Route != "" {
			fmt.Fprintf(&b, " (route %s, revision %d)", l.Route, l.Revision)
		}
		if l.Missing > 0 {
			fmt.Fprintf(&b, ", %d parts missing", l.Missing)
		}
		fmt.Fprintf(&b, "\n  the caller waited for at most %s; the view was %s old\n", milliseconds(l.TimeLeft), milliseconds(l.ViewAge))
	case "aggregate":
		fmt.Fprintf(&b, "gathered %d of %d parts for an instance of another region, %d were late, after %s\n", l.Answered, l.Shards, l.Late, milliseconds(l.Took))
	case "upstream asks for a pause":
		fmt.Fprintf(&b, "upstream %s asked for a pause of %s\n", l.Upstream, milliseconds(l.Pause))
	default:
		fmt.Fprintf(&b, "%s %s %s\n", l.Message, l.Upstream, l.Error)
	}
	writeAttempts(&b, l.Attempts)
	return b.String()
}

func milliseconds(seconds float64) string { return fmt.Sprintf("%.0f ms", 1000*seconds) }

var (
	delegation = regexp.MustCompile(`^via ([^: ]+):(.*)/(\d+)ms$`)
	attempt    = regexp.MustCompile(`^([^= ]+)=(.+?)(?: on (\d+))?/(\d+)ms$`)
	omitted    = regexp.MustCompile(`^\((\d+) more\) `)
	// separator matches the space between two entries, which begin with "via", with a service or with an upstream.
	separator = regexp.MustCompile(`ms (?:denied )? ?`)
)

// outcomes describes the outcomes of attempts.
var outcomes = map[string]string{
	"ok":         "answered",
	"open":       "had not answered when the request ended",
	"refused":    "accepted no connection",
	"reset":      "broke the connection off; the request may have run",
	"timeout":    "did not answer in time",
	"canceled":   "was canceled",
	"forbidden":  "was not asked: it leaves, is out, or its pause had begun",
	"crossed":    "answered another request",
	"incomplete": "sent an answer that cannot be used",
	"silent":     "was silent on a connection that stalled",
}

// writeAttempts writes one line for each attempt and each aggregator.
func writeAttempts(b *strings.Builder, text string) {
	for rest := strings.TrimSpace(text); rest != ""; {
		entry, after := rest, ""
		if at := separator.FindStringIndex(rest); at != nil {
			entry, after = strings.TrimSpace(rest[:at[0]+len("ms")]), rest[at[1]:]
			if strings.Contains(rest[at[0]:at[1]], "denied") {
				entry += " denied"
			}
		}
		rest = strings.TrimSpace(after)
		writeEntry(b, entry)
	}
}

func writeEntry(b *strings.Builder, entry string) {
	text, isDenied := strings.CutSuffix(entry, " denied")
	service, attemptText, hasService := strings.Cut(text, ":")
	switch m := delegation.FindStringSubmatch(text); {
	case m != nil && strings.Contains(m[2], " of "):
		fmt.Fprintf(b, "  aggregator %s had %s parts after %s ms\n", m[1], m[2], m[3])
	case m != nil && strings.HasPrefix(m[2], "silent"):
		fmt.Fprintf(b, "  aggregator %s was silent and given up (%s ms)\n", m[1], m[3])
	case m != nil:
		fmt.Fprintf(b, "  aggregator %s failed after %s ms: %s\n", m[1], m[3], m[2])
	case hasService && !strings.Contains(service, "="):
		fmt.Fprintf(b, "  service %s:\n", service)
		writeAttempt(b, attemptText)
	default:
		writeAttempt(b, text)
	}
	if isDenied {
		b.WriteString("    a further attempt was denied by the retry budget\n")
	}
}

func writeAttempt(b *strings.Builder, text string) {
	if m := omitted.FindStringSubmatch(text); m != nil {
		fmt.Fprintf(b, "    %s earlier attempts are not listed\n", m[1])
		text = text[len(m[0]):]
	}
	m := attempt.FindStringSubmatch(text)
	if m == nil {
		fmt.Fprintf(b, "    %s\n", text)
		return
	}
	words, ok := outcomes[m[2]]
	switch status, isRefusal := strings.CutPrefix(m[2], "refused "); {
	case ok:
	case isRefusal:
		words = "refused with status " + status + " and did not run it"
	default:
		words = m[2]
	}
	if m[3] != "" {
		words += ", on connection " + m[3]
	}
	fmt.Fprintf(b, "    upstream %s %s (%s ms)\n", m[1], words, m[4])
}
