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
type piece struct {
	Model   string `json:"model"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		Tokens int `json:"completion_tokens"`
	} `json:"usage"`
	Stall int64 `json:"stall"` // milliseconds
}

func (p piece) text() string {
	if len(p.Choices) == 0 {
		return ""
	}
	return p.Choices[0].Text
}

// whole checks an answer in one piece.
func whole(body io.Reader, c plan.Completion) outcome {
	decoder := json.NewDecoder(body)
	var p piece
	if decoder.Decode(&p) != nil {
		return cut{}
	}
	if p.Model != c.Model || p.Usage == nil || p.Usage.Tokens != c.Tokens || p.text() != text.Answer(c.Model, c.Prompt, c.Tokens) {
		return wrong{}
	}
	if decoder.Decode(&p) != io.EOF {
		return doubled{}
	}
	return answered{stall: time.Duration(p.Stall) * time.Millisecond}
}

// A reading is the state of one stream.
type reading struct {
	c     plan.Completion
	index int
	ends  int
	dones int
	stall time.Duration
	error bool
}

// stream checks an answer in server-sent events.
func (t *Tool) stream(body io.Reader, c plan.Completion, start time.Time) outcome {
	read := &reading{c: c}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	last := start
	for lines.Scan() {
		index := read.index
		if !read.line(lines.Text()) {
			return wrong{}
		}
		if read.index > index {
			now := time.Now()
			t.tally.token(index, now.Sub(last))
			last = now
		}
	}
	switch {
	case read.dones > 1 || read.ends > 1:
		return doubled{}
	case read.error:
		return failed{}
	case lines.Err() != nil || read.dones == 0:
		return cut{}
	case read.ends == 0 || read.index != c.Tokens:
		return wrong{}
	default:
		return answered{stall: read.stall}
	}
}

// line takes one line and returns false where it does not fit the request.
func (r *reading) line(line string) bool {
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case line == "event: error":
		r.error = true
		return true
	case !ok || r.error:
		return true
	case data == "[DONE]":
		r.dones++
		return true
	}
	var p piece
	if json.Unmarshal([]byte(data), &p) != nil || p.Model != r.c.Model {
		return false
	}
	if p.Usage != nil {
		r.ends++
		r.stall = time.Duration(p.Stall) * time.Millisecond
		return p.Usage.Tokens == r.c.Tokens
	}
	want := text.Token(r.c.Model, r.c.Prompt, r.index)
	r.index++
	return p.text() == want
}
