package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// A field is one key of the file: how its text is checked and stored.
type field struct {
	section, key string
	fallback     string // text where the key is missing; required where empty and not optional
	optional     bool
	store        func(text string) error
}

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Read reads and checks the settings in file. Its error is one line and names
// the file, the section and the key.
func Read(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Errorf("%s: %v", file, reason(err))
	}
	return Parse(file, text)
}

// Parse reads and checks the settings in text, which came from file.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	if err := parse(file, text, s.fields(filepath.Dir(file))); err != nil {
		return Settings{}, err
	}
	if err := s.check(); err != nil {
		return Settings{}, errors.Errorf("%s: %v", file, err)
	}
	return s, nil
}

// parse reads the fields in text, which came from file, and stores them.
func parse(file string, text []byte, fields []field) error {
	options := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		return errors.Errorf("%s: %s", file, oneLine(err.Error()))
	}
	if err := known(parsed, fields); err != nil {
		return errors.Errorf("%s: %v", file, err)
	}
	for _, f := range fields {
		if err := f.read(parsed); err != nil {
			return errors.Errorf("%s: %s.%s: %s", file, f.section, f.key, oneLine(err.Error()))
		}
	}
	return nil
}

// known refuses sections and keys that no field names, and those given twice.
func known(parsed *ini.File, fields []field) error {
	sections := map[string]map[string]bool{}
	for _, f := range fields {
		if sections[f.section] == nil {
			sections[f.section] = map[string]bool{}
		}
		sections[f.section][f.key] = true
	}
	seen := map[string]bool{}
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			if keys := section.Keys(); len(keys) > 0 {
				return errors.Errorf("%s: outside of any section", oneLine(keys[0].Name()))
			}
			continue
		}
		keys, ok := sections[section.Name()]
		if !ok {
			return errors.Errorf("%s: unknown section", oneLine(section.Name()))
		}
		if seen[section.Name()] {
			return errors.Errorf("%s: section given twice", section.Name())
		}
		seen[section.Name()] = true
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				return errors.Errorf("%s.%s: unknown key", section.Name(), oneLine(key.Name()))
			}
			if len(key.ValueWithShadows()) > 1 {
				return errors.Errorf("%s.%s: key given twice", section.Name(), key.Name())
			}
		}
	}
	return nil
}

func (f field) read(parsed *ini.File) error {
	text := f.fallback
	if section, err := parsed.GetSection(f.section); err == nil && section.HasKey(f.key) {
		text = strings.TrimSpace(section.Key(f.key).Value())
		if text == "" && !f.optional {
			return errors.New("empty")
		}
	}
	if text == "" && f.optional {
		return nil
	}
	if text == "" {
		return errors.New("missing key")
	}
	return f.store(text)
}

// check holds the rules between keys.
func (s *Settings) check() error {
	switch {
	case s.Limits.DefaultDeadline > s.Limits.MaxDeadline:
		return errors.New("limits.deadline: over limits.longest")
	case s.Limits.Prompt > s.Limits.Body:
		return errors.New("limits.prompt: over limits.body")
	case s.Lease.RenewalInterval*renewals > s.Lease.Duration:
		return errors.Errorf("lease.renewal: over a third of lease.time %v", s.Lease.Duration)
	case s.Listen.Caller == s.Listen.Admin:
		return errors.New("listen.admin: the same as listen.caller")
	}
	return nil
}

// renewals is the least number of renewals in a lease time.
const renewals = 3

// The ranges of keys with numbers and times.
const (
	mostBody     = 64 << 20 // bytes
	mostQueue    = 1 << 16  // requests
	mostRequests = 1 << 16  // completions
	mostFar      = 1 << 30  // bytes a second
	leastTime    = 100 * time.Millisecond
	mostTime     = time.Hour
	leastLease   = time.Second
	mostLease    = 5 * time.Minute
	mostRate     = 10000 // loads a second
	mostFlight   = 10000 // loads in flight
	mostKeyFile  = 1 << 20
)

// fields returns every key of the file, with its check. Files are found from folder.
func (s *Settings) fields(folder string) []field {
	return []field{
		{section: "host", key: "name", store: word(&s.Host.Name)},
		{section: "host", key: "region", store: word(&s.Host.Region)},
		{section: "host", key: "zone", store: word(&s.Host.Zone)},
		{section: "listen", key: "caller", store: address(&s.Listen.Caller)},
		{section: "listen", key: "peer", store: address(&s.Listen.Peer)},
		{section: "listen", key: "admin", store: address(&s.Listen.Admin)},
		{section: "platform", key: "address", store: location(&s.Platform.Address)},
		{section: "keys", key: "authority", store: pemFile(folder, &s.Keys.Authority)},
		{section: "keys", key: "certificate", store: pemFile(folder, &s.Keys.Certificate)},
		{section: "keys", key: "key", store: pemFile(folder, &s.Keys.Key)},
		{section: "peers", key: "seeds", optional: true, store: seeds(&s.Peers.Seeds)},
		{section: "limits", key: "body", fallback: "1048576", store: whole(&s.Limits.Body, 1, mostBody)},
		{section: "limits", key: "prompt", fallback: "262144", store: whole(&s.Limits.Prompt, 1, mostBody)},
		{section: "limits", key: "queue", fallback: "256", store: whole(&s.Limits.Queue, 1, mostQueue)},
		{section: "limits", key: "requests", fallback: "2048", store: whole(&s.Limits.Requests, 1, mostRequests)},
		{section: "limits", key: "far", fallback: "0", store: whole(&s.Limits.CrossRegionRate, 0, mostFar)},
		{section: "limits", key: "deadline", fallback: "30s", store: duration(&s.Limits.DefaultDeadline, leastTime, mostTime)},
		{section: "limits", key: "longest", fallback: "2m", store: duration(&s.Limits.MaxDeadline, leastTime, mostTime)},
		{section: "lease", key: "time", fallback: "10s", store: duration(&s.Lease.Duration, leastLease, mostLease)},
		{section: "lease", key: "renewal", fallback: "3s", store: duration(&s.Lease.RenewalInterval, leastTime, mostLease)},
		{section: "load", key: "rate", store: decimal(&s.Load.Rate, 0.01, mostRate)},
		{section: "load", key: "flight", fallback: "8", store: whole(&s.Load.InFlight, 1, mostFlight)},
		{section: "policy", key: "kind", fallback: Rendezvous, store: choice(&s.Policy.Kind, Rendezvous, LeastLoaded, Random)},
		{section: "policy", key: "weight", fallback: "0.5", store: decimal(&s.Policy.Weight, 0, 1)},
		{section: "log", key: "level", fallback: "info", store: level(&s.Log.Level)},
		{section: "log", key: "format", fallback: JSON, store: choice(&s.Log.Format, JSON, Console)},
	}
}

// oneLine keeps an error on one line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// reason strips the path from a file error, which stands in the line already.
func reason(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}
