// Package service defines the configuration entries for services. A service is a
// group of interchangeable targets, which are either model engines or instances of
// a plain HTTP service.
package service

import (
	"path"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// Service is the configuration entry for a group of interchangeable targets.
// Exactly one of Engine and Plain is set; Kind returns it.
type Service struct {
	Name   string  `json:"name"`
	Engine *Engine `json:"engine,omitempty"`
	Plain  *Plain  `json:"plain,omitempty"`
}

// Kind is the kind of a service's targets, either *Engine or *Plain.
type Kind interface{ kind() }

// Engine is the kind of a service whose targets are model engines.
type Engine struct {
	// Model is the name of the base model that the engines run.
	Model string `json:"model"`
	// Fenced is true if the engines refuse a command with an old fencing number.
	// Otherwise they ignore fencing numbers.
	Fenced bool `json:"fenced"`
}

// Plain is the kind of a service whose targets are plain HTTP servers.
type Plain struct {
	// Idempotent lists the calls that may be repeated. All other calls run at
	// most once.
	Idempotent []Call `json:"idempotent,omitempty"`
}

// Call matches calls by method and path prefix. Decoding errors that operators see
// contain the name of the type.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

func (*Engine) kind() {}
func (*Plain) kind()  {}

// Kind returns the kind of the service, or nil if none is set.
func (s Service) Kind() Kind {
	switch {
	case s.Engine != nil:
		return s.Engine
	case s.Plain != nil:
		return s.Plain
	default:
		return nil
	}
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// Validate checks the entry by itself, without the entries that it refers to.
func (s Service) Validate() error {
	switch {
	case !namePattern.MatchString(s.Name):
		return errors.Errorf("malformed name %.200q", s.Name)
	case s.Engine != nil && s.Plain != nil:
		return errors.New("two kinds, engine and plain")
	}
	switch kind := s.Kind().(type) {
	case *Engine:
		if !namePattern.MatchString(kind.Model) {
			return errors.Errorf("malformed model %.200q", kind.Model)
		}
		return nil
	case *Plain:
		return kind.validate()
	default:
		return errors.New("no kind, neither engine nor plain")
	}
}

func (p *Plain) validate() error {
	for _, c := range p.Idempotent {
		if !methodPattern.MatchString(c.Method) {
			return errors.Errorf("malformed method %.200q", c.Method)
		}
		if !strings.HasPrefix(c.Path, "/") || path.Clean(c.Path) != strings.TrimSuffix(c.Path, "/") && c.Path != "/" {
			return errors.Errorf("path %.200q is not absolute and clean", c.Path)
		}
	}
	return nil
}

// IsIdempotent reports whether a call may be repeated, which is the case if
// Idempotent lists its method together with a prefix of its path that ends at a
// segment boundary. A path with empty or dot segments never matches.
func (p *Plain) IsIdempotent(method, callPath string) bool {
	clean := path.Clean(callPath)
	if clean != callPath && clean+"/" != callPath {
		return false
	}
	for _, c := range p.Idempotent {
		prefix := strings.TrimSuffix(c.Path, "/")
		if c.Method == method && (clean == prefix || strings.HasPrefix(clean, prefix+"/")) {
			return true
		}
	}
	return false
}
