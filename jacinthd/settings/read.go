package settings

import (
	"cmp"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// A field is one key of the file and the function that validates and stores its value.
type field struct {
	section, key string
	fallback     string // default for a missing key or an empty value; the key is required if this is empty and optional is false
	optional     bool
	set          func(text string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Read reads and validates the settings in file. Its error is a single line that
// names the file, the section and the key.
func Read(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Errorf("%s: %v", file, withoutPath(err))
	}
	return Parse(file, text)
}

// Parse parses and validates the settings in text, the content of file.
func Parse(file string, text []byte) (Settings, error) {
	var s Settings
	var err error
	if s.Ignored, err = parse(file, text, s.fields(filepath.Dir(file))); err != nil {
		return Settings{}, err
	}
	if err := s.check(); err != nil {
		return Settings{}, errors.Errorf("%s: %v", file, err)
	}
	return s, nil
}

// optionalMark is the end of a key in the file that builds which don't know the key ignore.
const optionalMark = "?"

// parse parses text, the content of file, and sets the fields. It returns the keys that the file
// marks as optional and that this build doesn't know.
func parse(file string, text []byte, fields []field) (ignored []string, err error) {
	options := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, AllowDuplicateShadowValues: true}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, errors.Errorf("%s: %s", file, oneLine(err.Error()))
	}
	if ignored, err = resolveOptional(parsed, fields); err != nil {
		return nil, errors.Errorf("%s: %v", file, err)
	}
	if err := checkKeys(parsed, fields); err != nil {
		return nil, errors.Errorf("%s: %v", file, err)
	}
	for _, f := range fields {
		if err := f.read(parsed); err != nil {
			return nil, errors.Errorf("%s: %s.%s: %s", file, f.section, f.key, oneLine(err.Error()))
		}
	}
	return ignored, nil
}

// resolveOptional takes the mark off the optional keys that this build knows, and removes the
// others, whose names it returns.
func resolveOptional(parsed *ini.File, fields []field) (ignored []string, err error) {
	for _, section := range parsed.Sections() {
		before := len(ignored)
		for _, key := range section.Keys() {
			name, optional := strings.CutSuffix(key.Name(), optionalMark)
			if !optional {
				continue
			}
			known := slices.ContainsFunc(fields, func(f field) bool { return f.section == section.Name() && f.key == name })
			switch {
			case !known:
				ignored = append(ignored, section.Name()+"."+oneLine(name))
			case section.HasKey(name):
				return nil, errors.Errorf("%s.%s: key given twice", section.Name(), name)
			default:
				if _, err := section.NewKey(name, key.Value()); err != nil {
					return nil, errors.Wrapf(err, "%s.%s", section.Name(), name)
				}
			}
			section.DeleteKey(key.Name())
		}
		if len(ignored) > before && len(section.Keys()) == 0 && !slices.ContainsFunc(fields, func(f field) bool { return f.section == section.Name() }) {
			parsed.DeleteSection(section.Name())
		}
	}
	return ignored, nil
}

// checkKeys rejects unknown and duplicate sections and keys.
func checkKeys(parsed *ini.File, fields []field) error {
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

// read validates and stores the value of the field in parsed, or its default.
func (f field) read(parsed *ini.File) error {
	text := f.fallback
	if section, err := parsed.GetSection(f.section); err == nil && section.HasKey(f.key) {
		given := strings.TrimSpace(section.Key(f.key).Value())
		if given == "" && !f.optional && f.fallback == "" {
			return errors.New("empty")
		}
		text = cmp.Or(given, f.fallback)
	}
	if text == "" && f.optional {
		return nil
	}
	if text == "" {
		return errors.New("missing key")
	}
	return f.set(text)
}

// check validates the constraints between several keys.
func (s *Settings) check() error {
	switch {
	case s.Limits.DefaultDeadline > s.Limits.MaxDeadline:
		return errors.New("limits.deadline: over limits.longest")
	case s.Limits.Prompt > s.Limits.Body:
		return errors.New("limits.prompt: over limits.body")
	case s.Lease.RenewalInterval*minRenewals > s.Lease.Duration:
		return errors.Errorf("lease.renewal: over a third of lease.time %v", s.Lease.Duration)
	case s.Listen.Caller == s.Listen.Admin:
		return errors.New("listen.admin: the same as listen.caller")
	}
	return nil
}

// minRenewals is the minimum number of renewals within the duration of a lease.
const minRenewals = 3

// The limits of numbers, durations and file sizes.
const (
	maxBody            = 64 << 20 // bytes
	maxQueue           = 1 << 16  // requests waiting for one runner
	maxRequests        = 1 << 16  // completions in progress
	maxCrossRegionRate = 1 << 30  // bytes per second
	minDuration        = 100 * time.Millisecond
	maxDuration        = time.Hour
	minLease           = time.Second
	maxLease           = 5 * time.Minute
	maxLoadRate        = 10000   // loads per second
	maxLoadsInFlight   = 10000   // loads in flight
	maxKeyFileSize     = 1 << 20 // bytes
)

// fields returns the keys of the file, with the function that sets each.
// Relative paths in values are resolved against folder.
func (s *Settings) fields(folder string) []field {
	return []field{
		{section: "host", key: "name", set: identifier(&s.Host.Name)},
		{section: "host", key: "region", set: identifier(&s.Host.Region)},
		{section: "host", key: "zone", set: identifier(&s.Host.Zone)},
		{section: "listen", key: "caller", set: address(&s.Listen.Caller)},
		{section: "listen", key: "peer", set: address(&s.Listen.Peer)},
		{section: "listen", key: "admin", set: address(&s.Listen.Admin)},
		{section: "platform", key: "address", set: httpAddress(&s.Platform.Address)},
		{section: "keys", key: "authority", set: pemFile(folder, &s.Keys.Authority)},
		{section: "keys", key: "certificate", set: pemFile(folder, &s.Keys.Certificate)},
		{section: "keys", key: "key", set: pemFile(folder, &s.Keys.Key)},
		{section: "peers", key: "seeds", optional: true, set: seeds(&s.Peers.Seeds)},
		{section: "limits", key: "body", fallback: "1048576", set: integer(&s.Limits.Body, 1, maxBody)},
		{section: "limits", key: "prompt", fallback: "262144", set: integer(&s.Limits.Prompt, 1, maxBody)},
		{section: "limits", key: "queue", fallback: "256", set: integer(&s.Limits.Queue, 1, maxQueue)},
		{section: "limits", key: "requests", fallback: "2048", set: integer(&s.Limits.Requests, 1, maxRequests)},
		{section: "limits", key: "far", fallback: "0", set: integer(&s.Limits.CrossRegionRate, 0, maxCrossRegionRate)},
		{section: "limits", key: "deadline", fallback: "30s", set: duration(&s.Limits.DefaultDeadline, minDuration, maxDuration)},
		{section: "limits", key: "longest", fallback: "2m", set: duration(&s.Limits.MaxDeadline, minDuration, maxDuration)},
		{section: "lease", key: "time", fallback: "10s", set: duration(&s.Lease.Duration, minLease, maxLease)},
		{section: "lease", key: "renewal", fallback: "3s", set: duration(&s.Lease.RenewalInterval, minDuration, maxLease)},
		{section: "load", key: "rate", set: decimal(&s.Load.Rate, 0.01, maxLoadRate)},
		{section: "load", key: "flight", fallback: "8", set: integer(&s.Load.InFlight, 1, maxLoadsInFlight)},
		{section: "policy", key: "kind", fallback: Rendezvous, set: choice(&s.Policy.Kind, Rendezvous, LeastLoaded, Random)},
		{section: "policy", key: "weight", fallback: "0.5", set: decimal(&s.Policy.Weight, 0, 1)},
		{section: "log", key: "level", fallback: "info", set: level(&s.Log.Level)},
		{section: "log", key: "format", fallback: JSON, set: choice(&s.Log.Format, JSON, Console)},
	}
}

// oneLine replaces each run of white space by a space, so that an error takes
// a single line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// withoutPath strips the path from a file error, since the message that wraps it
// names the path already.
func withoutPath(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}
