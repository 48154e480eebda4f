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

// maxLine is the maximum length of a line of a stream, in bytes.
const maxLine = 1 << 20

// A chunk is a completion or one event of a streamed completion.
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

// text returns the text of the chunk, which may be empty.
func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// checkBody checks an answer that is not streamed.
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

// A streamChecker checks the events of one stream.
type streamChecker struct {
	want        plan.Completion
	next        int // index of the next token
	endEvents   int // events with the usage, which ends an answer
	doneMarkers int // [DONE] markers
	stall       time.Duration
	failed      bool // an error event was received
}

// checkStream checks an answer that is streamed as server-sent events, and
// records the time before each token.
func (g *Generator) checkStream(body io.Reader, c plan.Completion, start time.Time) outcome {
	checker := &streamChecker{want: c}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	last := start
	for lines.Scan() {
		before := checker.next
		if !checker.checkLine(lines.Text()) {
			return mismatched{}
		}
		if checker.next > before {
			now := time.Now()
			g.stats.recordToken(before, now.Sub(last))
			last = now
		}
	}
	switch {
	case checker.doneMarkers > 1 || checker.endEvents > 1:
		return duplicated{}
	case checker.failed:
		return failed{}
	case lines.Err() != nil || checker.doneMarkers == 0:
		return interrupted{}
	case checker.endEvents == 0 || checker.next != c.Tokens:
		return mismatched{}
	default:
		return answered{stall: checker.stall}
	}
}

// checkLine processes one line. It returns false if the line does not match the request.
func (c *streamChecker) checkLine(line string) bool {
	data, ok := strings.CutPrefix(line, "data: ")
	switch {
	case line == "event: error":
		c.failed = true
		return true
	case !ok || c.failed:
		return true
	case data == "[DONE]":
		c.doneMarkers++
		return true
	}
	var p chunk
	if json.Unmarshal([]byte(data), &p) != nil || p.Model != c.want.Model {
		return false
	}
	if p.Usage != nil {
		c.endEvents++
		c.stall = time.Duration(p.Stall) * time.Millisecond
		return p.Usage.Tokens == c.want.Tokens
	}
	want := text.Token(c.want.Model, c.want.Prompt, c.next)
	c.next++
	return p.text() == want
}
