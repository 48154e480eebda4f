// Package target defines the configuration entries for targets, the back ends that
// requests are routed to.
package target

import (
	"net/netip"
	"regexp"

	"github.com/pkg/errors"

	"jacinthstage/stage/service"
)

const (
	// MaxSlots is the maximum number of adapter slots of a runner.
	MaxSlots = 1024
	// MaxBatch is the maximum batch size of a runner.
	MaxBatch = 4096
)

// Target is the configuration entry for one back end of a service: a runner (a
// model engine) or an instance of a plain service.
type Target struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	// Slots is the number of adapters that a runner can hold at the same time. It
	// is 0 for an instance of a plain service.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of requests that a runner can run at the same time. It
	// is 0 for an instance of a plain service.
	Batch int `json:"batch,omitempty"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)

// Validate checks the entry by itself, without the entries that it refers to.
func (t Target) Validate() error {
	switch {
	case !namePattern.MatchString(t.Name):
		return errors.Errorf("malformed name %.200q", t.Name)
	case !t.Address.IsValid() || t.Address.Port() == 0:
		return errors.New("no address IP:PORT")
	case !namePattern.MatchString(t.Region):
		return errors.Errorf("malformed region %.200q", t.Region)
	case !namePattern.MatchString(t.Zone):
		return errors.Errorf("malformed zone %.200q", t.Zone)
	default:
		return nil
	}
}

// ValidateForKind checks that the target can belong to a service of the given kind.
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
