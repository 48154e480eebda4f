package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of a runner's entry.
	heartbeat = 1200 * time.Millisecond
	// adapterTime is how long the load of an adapter takes.
	adapterTime = 250 * time.Millisecond
)

// A runner is one server, as a process of its own. It prints what it runs, and obeys
// "drain MILLISECONDS" on its standard input.
type runner struct {
	name, service, zone, store string
	slots                      int
	engine                     bool
	work, every                time.Duration
	events, size, unframed     int
	address                    string
	born                       int64

	out      sync.Mutex
	mu       sync.Mutex
	changed  *sync.Cond
	answers  int
	running  int
	orders   uint64
	fence    uint64
	adapters map[string]*adapter
	leaving  bool
	gone     time.Time
	entered  string // state and adapters of the entry that was written last
	entrySeq uint64
}

// An adapter is one that the runner holds or that is on its way.
type adapter struct {
	version   int
	coming    bool
	replacing bool
	running   int
}

func runRunner(args []string) error {
	r := &runner{adapters: make(map[string]*adapter), born: time.Now().UnixMilli()}
	r.changed = sync.NewCond(&r.mu)
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	f.StringVar(&r.name, "name", "", "id")
	f.StringVar(&r.service, "service", "", "service")
	f.StringVar(&r.zone, "zone", "", "zone")
	f.StringVar(&r.store, "store", "", "address of the store")
	f.IntVar(&r.slots, "slots", 6, "requests at once")
	f.BoolVar(&r.engine, "engine", false, "holds models and answers with streams")
	f.DurationVar(&r.work, "work", 0, "time of a request that is no stream")
	f.IntVar(&r.size, "size", 800, "bytes of an answer that is no stream")
	f.DurationVar(&r.every, "every", 20*time.Millisecond, "time between two events")
	f.IntVar(&r.events, "events", 13, "events of a stream")
	f.IntVar(&r.unframed, "unframed", 0, "each n-th answer has neither a length nor chunks")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	go r.obey()
	go r.register()
	r.say("up %s", r.address)
	return (&http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}).Serve(l)
}

// say prints a line.
func (r *runner) say(format string, args ...any) {
	r.out.Lock()
	defer r.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// obey reads commands. The runner ends with the process that started it.
func (r *runner) obey() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		var ms int
		if _, err := fmt.Sscanf(lines.Text(), "drain %d", &ms); err == nil {
			r.mu.Lock()
			r.leaving, r.gone = true, time.Now().Add(time.Duration(ms)*time.Millisecond)
			r.mu.Unlock()
			if err := r.enter(); err != nil {
				r.say("failed: %v", err)
			}
			r.say("draining")
		}
	}
	os.Exit(0)
}

// register writes the entry again and again.
func (r *runner) register() {
	for {
		if err := r.enter(); err != nil {
			r.say("failed: %v", err)
		}
		time.Sleep(heartbeat)
	}
}

// enter writes the entry. It changes when more than the number of orders changes.
func (r *runner) enter() error {
	r.mu.Lock()
	resident, _ := r.content()
	state, left := "ready", 0
	if r.leaving {
		// The entry names the time that was left when the runner began to leave.
		state, left = "draining", int(r.gone.Sub(time.Now()).Milliseconds())
	}
	if now := state + resident; now != r.entered {
		r.entered, r.entrySeq = now, r.orders
	}
	spec := render(entryTemplate, map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Slots": r.slots, "State": state, "Born": r.born,
		"Orders": r.entrySeq, "Leaving": r.leaving, "Left": left, "Engine": r.engine, "Adapters": resident,
	})
	r.mu.Unlock()
	var o object
	o.Metadata.Name, o.Spec = r.name, spec
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+r.store+wire["objects"]+"servers/"+r.name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.New(answer.Status)
	}
	return nil
}

// content returns the adapters that are held and those on their way, as lists of JSON
// strings. r.mu must be held.
func (r *runner) content() (resident, coming string) {
	var held, on []string
	for name, a := range r.adapters {
		if a.coming {
			on = append(on, fmt.Sprintf(`"m0/%s@%d"`, name, a.version))
		} else {
			held = append(held, fmt.Sprintf(`"%s@%d"`, name, a.version))
		}
	}
	slices.Sort(held)
	slices.Sort(on)
	return strings.Join(held, ","), strings.Join(on, ",")
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	w.Header().Set(wire["instance"], r.name)
	if expected := q.Header.Get(wire["expect"]); expected != "" && expected != r.name {
		w.Header().Set(wire["notrun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
	case wire["report"]:
		r.mu.Lock()
		resident, coming := r.content()
		text := render(reportTemplate, map[string]any{"Adapters": resident, "Coming": coming, "Orders": r.orders, "Running": r.running, "Born": r.born})
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	case wire["order"]:
		w.WriteHeader(r.order(body))
	default:
		r.serve(w, q)
	}
}

// order carries an order out and returns the status of its answer.
func (r *runner) order(body []byte) int {
	var o map[string]any
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest
	}
	number := func(name string) (uint64, bool) {
		f, ok := o[name].(float64)
		return uint64(f), ok
	}
	text := func(name string) string {
		t, _ := o[name].(string)
		return t
	}
	fence, fenced := number(wire["fence"])
	if !fenced || text("holder") == "" {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = fence
	if expected, ok := number(wire["expected"]); ok && expected != r.orders {
		return http.StatusConflict
	}
	name := text("adapter")
	if text("model") != "m0" || name == "" {
		return http.StatusOK // the model is there, and is never asked to go
	}
	version, _ := number("version")
	status := 0
	switch text("operation") {
	case "load":
		status = r.load(name, int(version))
	case "unload":
		status = r.unload(name)
	default:
		status = http.StatusBadRequest
	}
	r.say("order %s %s version %d by %s with fence %d: %d", text("operation"), name, version, text("holder"), fence, status)
	return status
}

// load begins the load or the replacement of an adapter. r.mu must be held.
func (r *runner) load(name string, version int) int {
	if version == 0 {
		version = r.newest(name)
	}
	a := r.adapters[name]
	switch {
	case a == nil:
		a = &adapter{version: version, coming: true}
		r.adapters[name] = a
		r.orders++
		time.AfterFunc(adapterTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			a.coming = false
		})
		return http.StatusAccepted
	case a.coming || a.replacing:
		return http.StatusAccepted
	case a.version >= version:
		return http.StatusOK
	}
	a.replacing = true
	go func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for a.running > 0 {
			r.changed.Wait()
		}
		a.version, a.replacing = version, false
		r.orders++
		r.say("replaced %s by version %d", name, version)
	}()
	return http.StatusAccepted
}

// unload drops an adapter once its runs have ended. r.mu must be held.
func (r *runner) unload(name string) int {
	a := r.adapters[name]
	if a == nil {
		return http.StatusOK
	}
	r.orders++
	if a.running == 0 {
		delete(r.adapters, name)
		return http.StatusOK
	}
	a.replacing = true
	go func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for a.running > 0 {
			r.changed.Wait()
		}
		delete(r.adapters, name)
	}()
	return http.StatusAccepted
}

// newest returns the newest version of an adapter that the store names.
func (r *runner) newest(name string) int {
	answer, err := http.Get("http://" + r.store + wire["objects"] + "versions/m0." + name)
	if err != nil {
		return 1
	}
	defer answer.Body.Close()
	var o object
	var v struct{ Version int }
	if json.NewDecoder(answer.Body).Decode(&o) != nil || json.Unmarshal(o.Spec, &v) != nil {
		return 1
	}
	return max(1, v.Version)
}

// admit begins a run. It returns the adapter that the request names, nil if it names none,
// or the status of a refusal.
func (r *runner) admit(q *http.Request) (used *adapter, refusal int) {
	_, name, _ := strings.Cut(q.Header.Get(wire["model"]), "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return nil, http.StatusServiceUnavailable
	}
	if name != "" {
		used = r.adapters[name]
		wanted, err := strconv.Atoi(q.Header.Get(wire["version"]))
		switch {
		case used == nil || used.coming || err == nil && wanted != used.version:
			return nil, http.StatusMisdirectedRequest
		case used.replacing:
			return nil, http.StatusServiceUnavailable
		}
		used.running++
	}
	r.running++
	return used, 0
}

func (r *runner) leave(used *adapter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	if used != nil {
		used.running--
	}
	r.changed.Broadcast()
}

// serve runs a request of a client.
func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire["id"])
	w.Header().Set(wire["id"], id)
	used, refusal := r.admit(q)
	if refusal != 0 {
		w.Header().Set(wire["notrun"], "1")
		w.WriteHeader(refusal)
		return
	}
	defer r.leave(used)
	version := 0
	if used != nil {
		version = used.version
		w.Header().Set(wire["weights"], strconv.Itoa(version))
	}
	r.mu.Lock()
	r.answers++
	unframed := r.unframed > 0 && r.answers%r.unframed == 0
	w.Header().Set(wire["load"], fmt.Sprintf("%d,0,%d", r.running, r.slots))
	r.mu.Unlock()
	w.Header().Set(wire["signature"], r.name+"."+id)
	r.say("began %s %s version %d", id, modelOf(q), version)
	write, flush, end := r.answer(w, unframed)
	defer end()
	if !r.engine {
		if !wait(q, r.work) {
			return
		}
		r.writeBody(q, write, flush)
	} else if !r.writeEvents(q, write, flush) {
		return
	}
	r.say("ended %s", id)
}

// modelOf returns the model that a request names, a dash if it names none.
func modelOf(q *http.Request) string {
	if m := q.Header.Get(wire["model"]); m != "" {
		return m
	}
	return "-"
}

// wait waits and reports whether the client is still there.
func wait(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// answer returns the functions that send the answer. An unframed one has neither a length
// nor chunks, and ends with its channel.
func (r *runner) answer(w http.ResponseWriter, unframed bool) (write func([]byte) error, flush, end func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	if !unframed {
		write = func(p []byte) error { _, err := w.Write(p); return err }
		return write, func() { _ = http.NewResponseController(w).Flush() }, func() {}
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	begun := false
	write = func(p []byte) error {
		if !begun {
			begun = true
			p = append(head.Bytes(), p...)
		}
		_, err := conn.Write(p)
		return err
	}
	return write, func() {}, func() { _ = conn.Close() }
}

// writeEvents sends the events of a stream, each with its number and the number of all.
func (r *runner) writeEvents(q *http.Request, write func([]byte) error, flush func()) bool {
	for i := 1; i <= r.events; i++ {
		if !wait(q, r.every) {
			return false
		}
		if write([]byte(fmt.Sprintf("id: %d\ndata: %d of %d\n\n", i, i, r.events))) != nil {
			return false
		}
		flush()
	}
	return true
}

// bodyPart is the size of the parts in which a long body is sent, in bytes.
const bodyPart = 64 << 10

// writeBody sends a body that is no stream, a long one in parts.
func (r *runner) writeBody(q *http.Request, write func([]byte) error, flush func()) {
	for left := r.size; left > 0; left -= bodyPart {
		if write(bytes.Repeat([]byte("x"), min(left, bodyPart))) != nil {
			return
		}
		flush()
		if left > bodyPart && !wait(q, r.every) {
			return
		}
	}
}
