// Package target holds the configuration's entries for targets, the back ends
// that the system routes to, and their life cycle.
package target

import (
	"net/netip"
	"regexp"

	"github.com/pkg/errors"

	"jacinthstage/stage/service"
)

const (
	// MaxSlots is the largest number of adapter slots of a runner.
	MaxSlots = 1024
	// MaxBatch is the largest batch of a runner.
	MaxBatch = 4096
)

// A Target is one back end of one service: a runner (a model engine) or one
// instance of a plain service.
type Target struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	// Slots is the number of adapters that a runner holds at once.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of requests that a runner runs at once.
	Batch int `json:"batch,omitempty"`
}

var form = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// Validate returns what is wrong with the entry by itself, nil if nothing.
func (t Target) Validate() error {
	switch {
	case !form.MatchString(t.Name):
		return errors.Errorf("malformed name %.200q", t.Name)
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return errors.New("no address IP:PORT")
	case !form.MatchString(t.Region):
		return errors.Errorf("malformed region %.200q", t.Region)
	case !form.MatchString(t.Zone):
		return errors.Errorf("malformed zone %.200q", t.Zone)
	default:
		return nil
	}
}

// ValidateForKind returns why the target can't belong to a service of that kind, nil if it can.
func (t Target) ValidateForKind(kind service.Kind) error {
	switch kind.(type) {
	case *service.Engine:
		if t.Slots < 1 || t.Slots > MaxSlots {
			return errors.Errorf("slots %d is out of range 1 to %d", t.Slots, MaxSlots)
		}
		if t.Batch < 1 || t.Batch > MaxBatch {
			return errors.Errorf("batch %d is out of range 1 to %d", t.Batch, MaxBatch)
		}
		return nil
	case *service.Plain:
		if t.Slots != 0 || t.Batch != 0 {
			return errors.New("slots or batch on a plain service")
		}
		return nil
	default:
		return errors.Errorf("no such kind %T", kind)
	}
}
