package direct_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthstage/stage/catalog"
)

// The events of a stream that breaks off after its second one.
const (
	begunEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	restEvents  = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	wholeStream = begunEvents + restEvents
	comment     = ": still here\n\n"
)

// Header fields and bodies of answers.
const (
	eventType = "Content-Type: text/event-stream\r\n"
	signed    = "Signed: s\r\n"
	notRun    = "Notrun: 1\r\n"
	htmlError = "<html>\n\n<body>upstream failed</body>\n\n</html>\n\n"
	jsonError = "{\"error\":\"upstream failed\"}\n\n"
	textError = "error: upstream failed\n\n"
)

// The ways in which the body of an answer is delimited.
type framing func(body string) string

func sized(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }

func chunked(body string) string { return unended(body) + "0\r\n\r\n" }

// unended is chunked without the last chunk.
func unended(body string) string {
	out := "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return out
}

func undelimited(body string) string { return "\r\n" + body }

// answer returns an answer to the request of the test. header holds whole lines.
func answer(status int, header, framed string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nId: x1\r\n%s%s", status, header, framed)
}

// sendRaw sends bytes in place of an answer and closes the connection.
func sendRaw(t *testing.T, w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// A nextAnswer is what the next target sends for a stream that has begun.
type nextAnswer struct {
	name  string
	text  string
	whole bool // the caller gets the whole stream
}

// nextAnswers returns the answers of the next target.
func nextAnswers() []nextAnswer {
	sound := answer(200, signed+eventType, chunked(restEvents))
	failure := answer(500, signed, sized(textError))
	events := func(body string) string { return answer(200, signed+eventType, chunked(body)) }
	all := []nextAnswer{
		{"chunked", sound, true},
		{"with a length", answer(200, signed+eventType, sized(restEvents)), true},
		{"undelimited", answer(200, signed+eventType, undelimited(restEvents)), true},
		{"with a parameter of its type", answer(200, signed+"Content-Type: text/event-stream; charset=utf-8\r\n", chunked(restEvents)), true},
		{"with comments", events(comment + restEvents + comment), true},
		{"with another field", events("other-field: 3\n" + restEvents), true},
		{"after a 1xx", "HTTP/1.1 102 Processing\r\n\r\n" + sound, true},
		{"after an answer to another request", strings.Replace(failure, "x1", "x0", 1) + sound, true},
		{"before a late copy of an error", sound + failure, true},
		{"with a length, before a late copy of an error", answer(200, signed+eventType, sized(restEvents)) + failure, true},

		{"undelimited, before a late copy of an error", answer(200, signed+eventType, undelimited(restEvents)) + failure, false},
		{"undelimited, cut in an event, before an error", answer(200, signed+eventType, undelimited("id: 3\nda")) + failure, false},
		{"unsigned", answer(200, eventType, chunked(restEvents)), false},
		{"of another request", strings.Replace(sound, "x1", "x0", 1), false},
		{"without an id", strings.Replace(sound, "Id: x1\r\n", "", 1), false},
		{"partial content", answer(206, signed+eventType, chunked(restEvents)), false},
		{"redirect", answer(302, signed+"Location: /elsewhere\r\n", chunked(restEvents)), false},
		{"no content", answer(204, signed, "\r\n"), false},
		{"events without a head", restEvents, false},
		{"no HTTP", "\x15\x03\x01\x00\x02\x02\x46\r\n\r\n", false},
		{"text without a head", textError, false},
		{"nothing", "", false},
		{"cut in the status line", "HTTP/1.1 200", false},
		{"cut in its head", "HTTP/1.1 200 OK\r\nId: x1\r\nSig", false},
		{"ids start again", events(wholeStream), false},
		{"the last id comes again", events("id: 2\ndata: b\n\n" + restEvents), false},
		{"an id comes twice", events("id: 3\ndata: c\n\n" + restEvents), false},
		{"ids go back", events("id: 3\ndata: c\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\n"), false},
		{"an event is missing", events("id: 4\ndata: d\n\n"), false},
		{"an event is missing later", events("id: 3\ndata: c\n\nid: 5\ndata: e\n\n"), false},
		{"events without ids", events("data: c\n\ndata: d\n\n"), false},
		{"ids are no numbers", events("id: x\ndata: c\n\n"), false},
		{"an error as event", events("event: error\ndata: upstream failed\n\n"), false},
		{"an error after an event", events("id: 3\ndata: c\n\n" + textError), false},
		{"a head in the body", events(answer(500, "", sized("\n"))), false},
		{"ends at once", events(""), false},
		{"ends at once, with a length", answer(200, signed+eventType, sized("")), false},
		{"ends at once, undelimited", answer(200, signed+eventType, undelimited("")), false},
		{"cut before any event", answer(200, signed+eventType, unended("")), false},
		{"cut in an event", answer(200, signed+eventType, unended("id: 3\ndata: c\n\nid: 4\nda")), false},
		{"cut between two events", answer(200, signed+eventType, unended("id: 3\ndata: c\n\n")), false},
		{"with a length, cut in an event", answer(200, signed+eventType, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(restEvents), restEvents[:20])), false},
		{"with a length, cut between two events", answer(200, signed+eventType, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(restEvents), restEvents[:len(restEvents)/2])), false},
		{"undelimited, cut in an event", answer(200, signed+eventType, undelimited("id: 3\ndata: c\n\nid: 4\nda")), false},
		{"ends inside an event", events("id: 3\ndata: c\n\nid: 4\nda"), false},
		{"cut in the last chunk", strings.TrimSuffix(sound, "\r\n"), false},
		{"cut before the last chunk", strings.TrimSuffix(sound, "0\r\n\r\n"), false},
	}
	bodies := []struct{ kind, text string }{{"text/plain", textError}, {"text/html", htmlError}, {"application/json", jsonError}, {"text/plain", restEvents}, {"text/plain", ""}}
	framings := []struct {
		name  string
		frame framing
	}{{"length", sized}, {"chunks", chunked}, {"undelimited", undelimited}}
	for i, body := range bodies {
		for _, f := range framings {
			for _, status := range []int{200, 404, 421, 429, 500, 503} {
				for _, sign := range []string{signed, ""} {
					text := answer(status, sign+"Content-Type: "+body.kind+"\r\n", f.frame(body.text))
					all = append(all, nextAnswer{fmt.Sprintf("%d, %s, body %d, %s, %q", status, body.kind, i, f.name, sign), text, false})
				}
			}
			for _, status := range []int{421, 429, 503} {
				text := answer(status, notRun+"Content-Type: "+body.kind+"\r\n", f.frame(body.text))
				all = append(all, nextAnswer{fmt.Sprintf("%d, not run, %s, body %d, %s", status, body.kind, i, f.name), text, true})
			}
		}
	}
	return all
}

// firstAnswers are the ways in which the first target breaks off after the second event.
var firstAnswers = map[string]string{
	"between events":               answer(200, signed+eventType, unended(begunEvents)),
	"in an event":                  answer(200, signed+eventType, unended(begunEvents+"id: 3\nda")),
	"framed as complete, in event": answer(200, signed+eventType, chunked(begunEvents+"id: 3\nda")),
	"undelimited, in an event":     answer(200, signed+eventType, undelimited(begunEvents+"id: 3\nda")),
	"undelimited, before an error": answer(200, signed+eventType, undelimited(begunEvents)) + answer(500, signed, sized(textError)),
}

// callRaw sends a request as a caller of a version of HTTP. complete reports whether the answer
// looks complete; text is what the caller reads of it.
func (s *testSystem) callRaw(t *testing.T, version, path string) (status int, text string, complete bool) {
	response := s.openRaw(t, version, path)
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err == nil
}

// openRaw sends a request as a caller of a version of HTTP, and reads the head of the answer. The
// body of the answer it returns closes the caller's side of the connection.
func (s *testSystem) openRaw(t *testing.T, version, path string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: one.example\r\nId: x1\r\nLeft: 1500\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	response.Body = halfClosingBody{response.Body, conn.(*net.TCPConn)}
	return response
}

// A halfClosingBody is the body of an answer whose Close closes the caller's side of the connection
// only.
type halfClosingBody struct {
	io.Reader
	conn *net.TCPConn
}

func (b halfClosingBody) Close() error { return b.conn.CloseWrite() }

// TestBegunStreamGetsOnlyItsEvents guards against a stream that has begun, whose target breaks
// off, and whose caller then finds the text or the head of the next target's error among the
// events, an event twice or none in its place, or an end that looks complete (ORDER, MIXED).
func TestBegunStreamGetsOnlyItsEvents(t *testing.T) {
	for first, firstText := range firstAnswers {
		for _, next := range nextAnswers() {
			for _, version := range []string{"1.1", "1.0"} {
				if strings.Contains(next.name, ", body ") && (version == "1.0" || first != "in an event") {
					continue // these depend neither on the first target nor on the caller
				}
				t.Run(first+"/"+next.name+"/HTTP "+version, func(t *testing.T) {
					t.Parallel()
					checkBegunStream(t, newTestSystem(t, 5, rawTargets(t, firstText, next.text)), version, next.whole)
				})
			}
		}
	}
}

// TestBegunStreamThroughOtherHost is TestBegunStreamGetsOnlyItsEvents for a host that reaches the
// targets through another one only.
func TestBegunStreamThroughOtherHost(t *testing.T) {
	for _, next := range nextAnswers() {
		if strings.Contains(next.name, ", body ") && !strings.Contains(next.name, "body 0, undelimited") {
			continue // they don't depend on the other host
		}
		t.Run(next.name, func(t *testing.T) {
			s, _ := newCutSystem(t, 2, 5, rawTargets(t, firstAnswers["in an event"], next.text))
			checkBegunStream(t, s, "1.1", next.whole)
		})
	}
}

// rawTargets lets the first run of a stream begin it and break off, and the second one answer with next.
// Any further one goes on after the last event.
func rawTargets(t *testing.T, first, next string) targetFunc {
	return func(w http.ResponseWriter, r *http.Request, count int) {
		switch count {
		case 1:
			sendRaw(t, w, first)
		case 2:
			sendRaw(t, w, next)
		default:
			_, rest, _ := strings.Cut(wholeStream, "id: "+r.Header.Get("After")+"\n")
			_, rest, _ = strings.Cut(rest, "\n\n")
			sendRaw(t, w, answer(200, signed+eventType, chunked(rest)))
		}
	}
}

// checkBegunStream checks what a caller gets of a stream.
func checkBegunStream(t *testing.T, s *testSystem, version string, whole bool) {
	status, text, complete := s.callRaw(t, version, "/resumed/")
	require.Equal(t, http.StatusOK, status)
	require.True(t, strings.HasPrefix(text, begunEvents), "%q", text)
	require.True(t, complete || strings.HasPrefix(wholeStream, text) && strings.HasSuffix(text, "\n\n"), "events of the stream only: %q", text)
	require.Equal(t, whole, complete, "looks complete: %q", text)
	if whole {
		require.Equal(t, wholeStream, strings.NewReplacer(comment, "", "other-field: 3\n", "").Replace(text))
	}
}

// TestCutAnswerOfHTTP10 guards against an answer that breaks off and looks complete to a caller of
// HTTP/1.0, since it has neither a length nor chunks and its connection ends in an orderly way
// (ORDER, MIXED).
func TestCutAnswerOfHTTP10(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	for path, text := range map[string]string{"/stream/": begunEvents, "/resumed/": begunEvents, "/once/": long} {
		for _, broken := range []bool{true, false} {
			t.Run(fmt.Sprint(path, ", broken ", broken), func(t *testing.T) {
				s := newTestSystem(t, 1, func(w http.ResponseWriter, _ *http.Request, _ int) {
					succeed(w, text)
					if broken {
						_ = http.NewResponseController(w).Flush()
						abortAnswer()
					}
				})
				status, got, complete := s.callRaw(t, "1.0", path)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, !broken, complete, "%d of %d bytes look complete", len(got), len(text))
				require.True(t, strings.HasPrefix(text, got) && (broken || got == text), "%d of %d bytes", len(got), len(text))
			})
		}
	}
}

// TestHalfClosedCallerSeesCutStream guards against a stream that ends as if it were complete for a
// caller that has closed its own side of the connection and still reads (ORDER).
func TestHalfClosedCallerSeesCutStream(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		t.Run(version, func(t *testing.T) {
			s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
				succeed(w, begunEvents)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			response := s.openRaw(t, version, "/resumed/")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NoError(t, response.Body.Close())
			text, err := io.ReadAll(response.Body)
			require.Error(t, err, "the stream looks complete")
			require.Equal(t, begunEvents, string(text))
		})
	}
}

// TestEventsWithoutIDsComeOnce guards against events that come twice (ORDER): where the last ones
// that the caller has bear no id, no other target can go on after them.
func TestEventsWithoutIDsComeOnce(t *testing.T) {
	for _, first := range []string{"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"} {
		t.Run(first, func(t *testing.T) {
			s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, count int) {
				switch {
				case count == 1:
					succeed(w, first)
					_ = http.NewResponseController(w).Flush()
					abortAnswer()
				case r.Header.Get("After") == "":
					succeed(w, first+"data: c\n\n")
				default:
					succeed(w, "data: b\n\ndata: c\n\n")
				}
			})
			_, text, complete := s.callRaw(t, "1.1", "/resumed/")
			require.False(t, complete, text)
			require.Equal(t, first, text)
			require.EqualValues(t, 1, s.runs.Load())
		})
	}
}

// TestTakenUpStreamThatStartsAgain guards against events that come twice over a caller's requests
// (ORDER): the stream that it takes up goes on at a target that starts it again.
func TestTakenUpStreamThatStartsAgain(t *testing.T) {
	var takenUp atomic.Int32
	s := newTestSystem(t, 2, func(w http.ResponseWriter, r *http.Request, _ int) {
		switch {
		case r.Header.Get("After") == "":
			succeed(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		case takenUp.Add(1) == 1:
			succeed(w, wholeStream)
		default:
			succeed(w, strings.TrimPrefix(wholeStream, "id: 1\ndata: a\n\n"))
		}
	})
	ctx, leave := context.WithCancel(context.Background())
	id, _ := s.begin(ctx, t, "/resumed/")
	leave()
	status, text := s.takeUp(t, "/resumed/", id)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, strings.TrimPrefix(wholeStream, "id: 1\ndata: a\n\n"), text)
	require.EqualValues(t, 2, takenUp.Load())
}

// TestWholeStreamOfEndedTarget checks that a stream without a length or chunks whose target has ended
// with it is complete if the next target has no further event, also through another host.
func TestWholeStreamOfEndedTarget(t *testing.T) {
	for _, indirect := range []bool{false, true} {
		t.Run(fmt.Sprint("through another host ", indirect), func(t *testing.T) {
			hosts := startHosts(t, 2)
			c := &cut{dial: isRefused}
			c.apply(hosts[0])
			c.active.Store(indirect)
			s := newLinkedSystem(t, hosts, 0, nil)
			var runs atomic.Int32
			targets := []catalog.Target{startEndingTarget(t, "t0", &runs), startEndingTarget(t, "t1", &runs)}
			for _, h := range hosts {
				h.dispatcher.Apply(time.Now(), catalog.TargetsListed{Revision: 2, Targets: targets})
			}
			_, text, complete := s.callRaw(t, "1.1", "/resumed/")
			require.True(t, complete)
			require.Equal(t, wholeStream, text)
			require.EqualValues(t, 2, runs.Load())
		})
	}
}

// startEndingTarget starts a target that ends with its answer, a whole stream without a length or
// chunks, if that is the first of runs, and else has no further event.
func startEndingTarget(t *testing.T, name string, runs *atomic.Int32) catalog.Target {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			sendRaw(t, w, answer(200, signed+eventType, chunked("")))
			return
		}
		_ = server.Listener.Close()
		sendRaw(t, w, answer(200, signed+eventType, undelimited(wholeStream)))
	}))
	t.Cleanup(server.CloseClientConnections)
	return catalog.Target{Name: name, Service: "s", Zone: "z", Slots: 8, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// TestErrorWithoutEndInPlaceOfTheRest guards against a stream that stalls until its deadline, since
// the body of the error that its next target answers with doesn't end.
func TestErrorWithoutEndInPlaceOfTheRest(t *testing.T) {
	for _, status := range []int{404, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newTestSystem(t, 5, func(w http.ResponseWriter, r *http.Request, count int) {
				if count == 1 {
					sendRaw(t, w, firstAnswers["in an event"])
					return
				}
				w.Header().Set("Signed", "s")
				w.WriteHeader(status)
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, "x")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			})
			start := time.Now()
			_, text, complete := s.callRaw(t, "1.1", "/resumed/")
			require.Less(t, time.Since(start), time.Second, "the caller has 1.5 s")
			require.False(t, complete, text)
			require.Equal(t, begunEvents, text)
		})
	}
}
