package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// An Event is an input to Member.Step. Found, Missing, Listed, Wrote, Deleted
// and Failed answer the call with their CallID. A duplicate answer, or one that
// arrives after the call's deadline, has no effect.
type Event interface{ event() }

// Started reports that the process runs. It must be the first event.
type Started struct{}

// Tick reports that time has passed.
type Tick struct{}

// Stop requests a planned stop.
type Stop struct{}

// Found returns the object in answer to a Get.
type Found struct {
	CallID  uint64
	Version uint64
	Value   []byte
}

// Missing reports, in answer to a Get, that the object does not exist.
type Missing struct{ CallID uint64 }

// An Object is one object returned by a List.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Listed returns all objects under the prefix in answer to a List.
type Listed struct {
	CallID  uint64
	Objects []Object
}

// Wrote reports that a Put took effect and created Version of the object.
type Wrote struct {
	CallID  uint64
	Version uint64
}

// Deleted reports that a Delete took effect.
type Deleted struct{ CallID uint64 }

// Failed reports that a call failed.
type Failed struct {
	CallID uint64
	Cause  lease.Cause
}

// TableWatched carries the region's table as delivered by a watch.
type TableWatched struct {
	Version uint64
	Value   []byte
}

// EraChanged reports the era of the store. It precedes each answer that names a higher era
// than the one before.
type EraChanged struct{ Era uint64 }

// A PlatformState is the state of a host in the platform's host list.
type PlatformState uint8

// The states in the platform's host list. A host that is not in the list is Unlisted.
const (
	Unlisted PlatformState = iota
	Live
	Leaving
	Gone
)

// PlatformStatus reports the state of one host in the platform's host list.
type PlatformStatus struct {
	Name  string
	State PlatformState
}

// RunnersConfigured carries the region's runners in a version of the configuration.
type RunnersConfigured struct {
	Version uint64
	Runners []Runner
}

// Drained reports that this host has ended all use of a runner after the newest
// Handover of it, with no Acquire since.
type Drained struct{ Runner string }

// AdmissionStopped reports that this host, after the newest Handover of a runner
// and with no Acquire since, admits no requests to it and has no order open on
// it. Requests that were admitted earlier may still run.
type AdmissionStopped struct{ Runner string }

func (Started) event()           {}
func (Tick) event()              {}
func (Stop) event()              {}
func (Found) event()             {}
func (Missing) event()           {}
func (Listed) event()            {}
func (Wrote) event()             {}
func (Deleted) event()           {}
func (Failed) event()            {}
func (TableWatched) event()      {}
func (EraChanged) event()        {}
func (PlatformStatus) event()    {}
func (RunnersConfigured) event() {}
func (Drained) event()           {}
func (AdmissionStopped) event()  {}

// An Action is an output of Member.Step. Get, List, Put and Delete are calls to
// make on the object API, each to be answered by an event with the same CallID.
// The other actions report a change of membership or ownership.
type Action interface{ action() }

// Get requests a read of an object.
type Get struct {
	CallID uint64
	Key    string
}

// List requests all objects whose keys start with Prefix.
type List struct {
	CallID uint64
	Prefix string
}

// Put requests an update of an object at Version, or its creation if Version is 0.
type Put struct {
	CallID  uint64
	Key     string
	Version uint64
	Value   []byte
}

// Delete requests the deletion of an object at Version.
type Delete struct {
	CallID  uint64
	Key     string
	Version uint64
}

// Acquire reports that this host owns a runner at an epoch. If the host already
// owns the runner at that epoch, Acquire cancels a Handover: the runner stays.
type Acquire struct {
	Runner string
	Epoch  uint32
	Era    uint64 // of the store; an epoch of a later era is higher than all of earlier ones
	// Inherited is set if requests of an earlier owner, or of an earlier process
	// of this host, may still run on the runner.
	Inherited bool
	// PreviousOwner may be this host. It is empty for a new runner.
	PreviousOwner string
}

// Release reports that this host no longer owns a runner and must stop using it
// at once.
type Release struct{ Runner string }

// Handover requests that this host stop using a runner, so that it can go to the
// host To. To is empty if the runner goes to no host. AdmissionStopped is a
// sufficient answer if To is set, as To then takes over the requests that still
// run. Drained is always a sufficient answer.
type Handover struct {
	Runner string
	To     string
}

// Renewed reports that this host is a member with a lease valid until Until, and
// that its copy of the table was obtained after the lease last expired.
type Renewed struct{ Until time.Time }

// Expired reports that the lease is no longer valid, or that the host is not a
// member.
type Expired struct{}

// TableChanged reports a new table.
type TableChanged struct {
	Table   Table
	Version uint64
}

// Replaced reports that another process runs under this host's name. It is the
// last action of a Member.
type Replaced struct{}

// Stopped reports that a planned stop is complete. It is the last action of a
// Member.
type Stopped struct{}

func (Get) action()          {}
func (List) action()         {}
func (Put) action()          {}
func (Delete) action()       {}
func (Acquire) action()      {}
func (Release) action()      {}
func (Handover) action()     {}
func (Renewed) action()      {}
func (Expired) action()      {}
func (TableChanged) action() {}
func (Replaced) action()     {}
func (Stopped) action()      {}
