package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"jacinthstage/standin/internal/plan"
	"jacinthstage/standin/internal/text"
)

// maxLine is the longest line of a stream, in bytes.
const maxLine = 1 << 20

// A piece is a completion or a part of one.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
	Stall int64 `json:"stall"` // milliseconds
}

func (p chunk) text() string {
	if len(p.Choices) == 0 {
		return ""
	}
	return p.Choices[0].Text
}

// checkBody checks an answer in one piece.
func checkBody(body io.Reader, c plan.Completion) outcome {
	decoder := json.NewDecoder(body)
	var p chunk
	if decoder.Decode(&p) != nil {
		return interrupted{}
	}
	if p.Model != c.Model || p.Usage == nil || p.Usage.Tokens != c.Tokens || p.text() != text.Answer(c.Model, c.Prompt, c.Tokens) {
		return mismatched{}
	}
	if decoder.Decode(&p) != io.EOF {
		return duplicated{}
	}
	return answered{stall: time.Duration(p.Stall) * time.Millisecond}
}

// A reading is the state of one stream.
type streamChecker struct {
	want        plan.Completion
	next        int
	endEvents   int
	doneMarkers int
	stall       time.Duration
	failed      bool
}

// checkStream checks an answer in server-sent events.
func (t *Generator) checkStream(body io.Reader, c plan.Completion, start time.Time) outcome {
	read := &streamChecker{want: c}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	last := start
	for lines.Scan() {
		index := read.next
		if !read.checkLine(lines.Text()) {
			return mismatched{}
		}
		if read.next > index {
			now := time.Now()
			t.stats.recordToken(index, now.Sub(last))
			last = now
		}
	}
	switch {
	case read.doneMarkers > 1 || read.endEvents > 1:
		return duplicated{}
	case read.failed:
		return failed{}
	case lines.Err() != nil || read.doneMarkers == 0:
		return interrupted{}
	case read.endEvents == 0 || read.next != c.Tokens:
		return mismatched{}
	default:
		return answered{stall: read.stall}
	}
}

// checkLine takes one line and returns false where it does not fit the request.
func (r *streamChecker) checkLine(line string) bool {
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case line == "event: error":
		r.failed = true
		return true
	case !ok || r.failed:
		return true
	case data == "[DONE]":
		r.doneMarkers++
		return true
	}
	var p chunk
	if json.Unmarshal([]byte(data), &p) != nil || p.Model != r.want.Model {
		return false
	}
	if p.Usage != nil {
		r.endEvents++
		r.stall = time.Duration(p.Stall) * time.Millisecond
		return p.Usage.Tokens == r.want.Tokens
	}
	want := text.Token(r.want.Model, r.want.Prompt, r.next)
	r.next++
	return p.text() == want
}
