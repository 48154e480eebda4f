package host

import (
	"time"

	"jacinthstage/stage/lease"
)

// An Event is what a Member is told. Found, Missing, Listed, Wrote, Deleted and
// Failed answer the call whose number they carry; an answer that comes twice,
// or later than the call's deadline, has no effect.
type Event interface{ event() }

// Started says that the process runs. It comes first.
type Started struct{}

// Tick says that time has passed.
type Tick struct{}

// Stop asks for a planned stop.
type Stop struct{}

// Found answers a Get with the object.
type Found struct {
	CallID  uint64
	Version uint64
	Value   []byte
}

// Missing answers a Get: there is no such object.
type Missing struct{ CallID uint64 }

// An Object is one object of a List.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Listed answers a List with all objects under the prefix.
type Listed struct {
	CallID  uint64
	Objects []Object
}

// Wrote says that a Put took effect and made Version.
type Wrote struct {
	CallID  uint64
	Version uint64
}

// Deleted says that a Delete took effect.
type Deleted struct{ CallID uint64 }

// Failed says that a call failed.
type Failed struct {
	CallID uint64
	Cause  lease.Cause
}

// TableWatched says that a watch showed the region's table.
type TableWatched struct {
	Version uint64
	Value   []byte
}

// A State is what the platform's list says of a host.
type PlatformState uint8

// The states of the platform's list. A host that isn't listed is Unlisted.
const (
	Unlisted PlatformState = iota
	Live
	Leaving
	Gone
)

// PlatformStatus says what the platform's list shows of one host.
type PlatformStatus struct {
	Name  string
	State PlatformState
}

// RunnersConfigured are the region's runners in the configuration version Config.
type RunnersConfigured struct {
	Version uint64
	Runners []Runner
}

// Drained says that this host has ended all use of a runner after the newest
// Handover of it, with no Acquire since.
type Drained struct{ Runner string }

// AdmissionStopped says that this host, after the newest Handover of a runner with no
// Acquire since, admits nothing to it and has no order open on it. Requests that
// it admitted before may still run.
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
func (PlatformStatus) event()    {}
func (RunnersConfigured) event() {}
func (Drained) event()           {}
func (AdmissionStopped) event()  {}

// An Action is what a Member asks for or tells. Get, List, Put and Delete are
// calls on the object API, each to be answered by an event with its number.
type Action interface{ action() }

// Get asks to read an object.
type Get struct {
	CallID uint64
	Key    string
}

// List asks for all objects whose keys start with Prefix.
type List struct {
	CallID uint64
	Prefix string
}

// Put asks to update an object at Version, or to create it where Version is 0.
type Put struct {
	CallID  uint64
	Key     string
	Version uint64
	Value   []byte
}

// Delete asks to delete an object at Version.
type Delete struct {
	CallID  uint64
	Key     string
	Version uint64
}

// Acquire says that this host owns a runner at an epoch. For an epoch that it
// has already, it ends a Handover: the runner stays.
type Acquire struct {
	Runner string
	Epoch  uint32
	// Inherited says that requests of an earlier owner, or of an earlier
	// process of this host, may still run on the runner.
	Inherited bool
	// PreviousOwner is the earlier owner, which may be this host; empty for a new runner.
	PreviousOwner string
}

// Release says that this host no longer owns a runner and must stop its use at once.
type Release struct{ Runner string }

// Handover asks to stop using a runner, so that it can go to the host To; To is
// empty where the runner goes to none. Yielded answers it where there is a host
// to go to, which then takes over what still runs; Drained answers it always.
type Handover struct {
	Runner string
	To     string
}

// Renewed says that this host is a member with a lease valid until Until, and
// that its view of the table is from after the lease's last lapse.
type Renewed struct{ Until time.Time }

// Expired says that the lease is no longer valid, or that the host is no member.
type Expired struct{}

// TableChanged tells a new table.
type TableChanged struct {
	Table   Table
	Version uint64
}

// Replaced says that another process runs under this host's name. It is final.
type Replaced struct{}

// Stopped says that a planned stop is complete. It is final.
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
