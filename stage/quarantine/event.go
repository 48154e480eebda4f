package quarantine

import "jacinthstage/stage/verdict"

// An Event is what a Quarantine is told: Ask, Sent, Ended, Crashed, Told,
// Stored, Missing, Conflict, Failed or Tick.
type Event interface{ event() }

// RunRequested asks for leave to run a request whose print isn't clean. Allow or Refuse
// answers it.
type RunRequested struct {
	Fingerprint Fingerprint
	ID          string
}

// Sent says that a request was sent to a target.
type Sent struct {
	Fingerprint Fingerprint
	ID          string
	Target      string
}

// Ended says that a request runs no more, or that one with leave won't be
// sent. Whole says that it was answered whole.
type Ended struct {
	Fingerprint Fingerprint
	ID          string
	Complete    bool
}

// Crashed says that the process of a target ended with the request in
// progress; ID is empty where another host ran it. Crash is the crash's id,
// made of the target's name and incarnation or of what else tells it from others.
type Crashed struct {
	Fingerprint Fingerprint
	ID          string
	CrashID     string
}

// CrashReported says that a peer saw the request in progress at a crash.
type CrashReported struct {
	Fingerprint Fingerprint
	CrashID     string
}

// Stored says that the object has this version and record: the answer to Read
// or Write, or an event of a listing or watch.
type Stored struct {
	Fingerprint Fingerprint
	Version     uint64
	Record      Record
	Reply       bool
}

// NotFound says that there is no such object: the answer to Read or Delete, or
// an event of a watch.
type NotFound struct {
	Fingerprint Fingerprint
	Reply       bool
}

// Conflict answers a Write or Delete that lost to another host's.
type Conflict struct{ Fingerprint Fingerprint }

// CallFailed answers a call that failed or whose answer was lost.
type CallFailed struct{ Fingerprint Fingerprint }

// Tick says that time has passed; one each second or so is wanted.
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

// An Action is what a Quarantine wants done: Allow, Refuse, Cancel, Tell,
// Read, Write or Delete. Each Read, Write and Delete wants one answer.
type Action interface{ action() }

// Allow answers Ask: the request may be sent. It ends with Ended.
type Allow struct{ ID string }

// Refuse answers Ask.
type Refuse struct {
	ID  string
	Err *verdict.Error
}

// Cancel says to cancel a run of a request that has become a suspect.
type Cancel struct{ ID, Target string }

// ReportCrash says to tell all peers, before the caller gets its answer.
type ReportCrash struct {
	Fingerprint Fingerprint
	CrashID     string
}

// Read says to read the object.
type Read struct{ Fingerprint Fingerprint }

// Write says to write the object: a create where Version is zero, else an update.
type Write struct {
	Fingerprint Fingerprint
	Version     uint64
	Record      Record
}

// Delete says to delete the object at Version.
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
