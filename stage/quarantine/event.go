package quarantine

import "jacinthstage/stage/verdict"

// An Event is an input to a Quarantine: RunRequested, Sent, Ended, Crashed,
// CrashReported, Stored, NotFound, Conflict, CallFailed or Tick.
type Event interface{ event() }

// RunRequested requests permission to run a request for which IsClean is false. The
// answer is Allow or Refuse.
type RunRequested struct {
	Fingerprint Fingerprint
	ID          string
}

// Sent reports that a request was sent to a target.
type Sent struct {
	Fingerprint Fingerprint
	ID          string
	Target      string
}

// Ended reports that a run of a request ended, or that a request with permission to
// run will not be sent.
type Ended struct {
	Fingerprint Fingerprint
	ID          string
	Complete    bool // whether the request got a complete response
}

// Crashed reports that the process of a target ended with the request in progress.
type Crashed struct {
	Fingerprint Fingerprint
	ID          string // empty if another host ran the request
	CrashID     string // target and incarnation, or whatever else is unique to the crash
}

// CrashReported reports that according to a peer the request was in progress at a
// crash.
type CrashReported struct {
	Fingerprint Fingerprint
	CrashID     string
}

// Stored reports the version and record of the object. It is the reply to Read or
// Write, or an event of a listing or watch.
type Stored struct {
	Fingerprint Fingerprint
	Version     uint64
	Record      Record
	Reply       bool // whether this is the reply to an action
}

// NotFound reports that the object does not exist. It is the reply to Read or Delete,
// or an event of a watch.
type NotFound struct {
	Fingerprint Fingerprint
	Reply       bool // whether this is the reply to an action
}

// Conflict reports that a Write or Delete failed because another host changed the
// object.
type Conflict struct{ Fingerprint Fingerprint }

// CallFailed reports that a Read, Write or Delete failed or that its response was
// lost.
type CallFailed struct{ Fingerprint Fingerprint }

// Tick reports that time has passed. It is expected about once a second.
type Tick struct{}

func (RunRequested) event()  {}
func (Sent) event()          {}
func (Ended) event()         {}
func (Crashed) event()       {}
func (CrashReported) event() {}
func (Stored) event()        {}
func (NotFound) event()      {}
func (Conflict) event()      {}
func (CallFailed) event()    {}
func (Tick) event()          {}

// An Action is a step that a Quarantine requests: Allow, Refuse, Cancel, ReportCrash,
// Read, Write or Delete. Each Read, Write and Delete requires one reply.
type Action interface{ action() }

// Allow answers RunRequested: the request may be sent. The permission ends with
// Ended.
type Allow struct{ ID string }

// Refuse answers RunRequested: the request must not be sent.
type Refuse struct {
	ID  string
	Err *verdict.Error
}

// Cancel cancels a run of a request that has become a suspect.
type Cancel struct{ ID, Target string }

// ReportCrash reports a crash to all peers before the caller gets its answer.
type ReportCrash struct {
	Fingerprint Fingerprint
	CrashID     string
}

// Read reads the object.
type Read struct{ Fingerprint Fingerprint }

// Write creates the object if Version is zero, and updates it otherwise.
type Write struct {
	Fingerprint Fingerprint
	Version     uint64
	Record      Record
}

// Delete deletes the object at Version.
type Delete struct {
	Fingerprint Fingerprint
	Version     uint64
}

func (Allow) action()       {}
func (Refuse) action()      {}
func (Cancel) action()      {}
func (ReportCrash) action() {}
func (Read) action()        {}
func (Write) action()       {}
func (Delete) action()      {}
