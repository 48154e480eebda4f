package quarantine

import "jacinthstage/stage/verdict"

// An Event is what a Quarantine is told: Ask, Sent, Ended, Crashed, Told,
// Stored, Missing, Conflict, Failed or Tick.
type Event interface{ event() }

// Ask asks for leave to run a request whose print isn't clean. Allow or Refuse
// answers it.
type Ask struct {
	Print Print
	ID    string
}

// Sent says that a request was sent to a target.
type Sent struct {
	Print  Print
	ID     string
	Target string
}

// Ended says that a request runs no more, or that one with leave won't be
// sent. Whole says that it was answered whole.
type Ended struct {
	Print Print
	ID    string
	Whole bool
}

// Crashed says that the process of a target ended with the request in
// progress; ID is empty where another host ran it. Crash is the crash's id,
// made of the target's name and incarnation or of what else tells it from others.
type Crashed struct {
	Print Print
	ID    string
	Crash string
}

// Told says that a peer saw the request in progress at a crash.
type Told struct {
	Print Print
	Crash string
}

// Stored says that the object has this version and record: the answer to Read
// or Write, or an event of a listing or watch.
type Stored struct {
	Print   Print
	Version uint64
	Record  Record
	Answer  bool
}

// Missing says that there is no such object: the answer to Read or Delete, or
// an event of a watch.
type Missing struct {
	Print  Print
	Answer bool
}

// Conflict answers a Write or Delete that lost to another host's.
type Conflict struct{ Print Print }

// Failed answers a call that failed or whose answer was lost.
type Failed struct{ Print Print }

// Tick says that time has passed; one each second or so is wanted.
type Tick struct{}

func (Ask) event()      {}
func (Sent) event()     {}
func (Ended) event()    {}
func (Crashed) event()  {}
func (Told) event()     {}
func (Stored) event()   {}
func (Missing) event()  {}
func (Conflict) event() {}
func (Failed) event()   {}
func (Tick) event()     {}

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

// Tell says to tell all peers, before the caller gets its answer.
type Tell struct {
	Print Print
	Crash string
}

// Read says to read the object.
type Read struct{ Print Print }

// Write says to write the object: a create where Version is zero, else an update.
type Write struct {
	Print   Print
	Version uint64
	Record  Record
}

// Delete says to delete the object at Version.
type Delete struct {
	Print   Print
	Version uint64
}

func (Allow) action()  {}
func (Refuse) action() {}
func (Cancel) action() {}
func (Tell) action()   {}
func (Read) action()   {}
func (Write) action()  {}
func (Delete) action() {}
