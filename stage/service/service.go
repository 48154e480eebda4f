// Package service holds the configuration's entries for services: groups of
// targets that are alike, either model engines or plain services.
package service

import (
	"path"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// A Service is a group of like targets. Exactly one of Engine and Plain is set;
// Kind returns it.
type Service struct {
	Name   string  `json:"name"`
	Engine *Engine `json:"engine,omitempty"`
	Plain  *Plain  `json:"plain,omitempty"`
}

// A Kind is what a service's targets are: Engine or Plain.
type Kind interface{ kind() }

// Engine says that the targets are model engines.
type Engine struct {
	// Model is the base model that the engines run.
	Model string `json:"model"`
	// Fenced says that the engines refuse an order with an old fencing
	// number; otherwise they ignore the number.
	Fenced bool `json:"fenced"`
}

// Plain says that the targets are plain HTTP services.
type Plain struct {
	// Idempotent lists the calls that may be repeated; all others run at most once.
	Idempotent []CallPattern `json:"idempotent,omitempty"`
}

// A Call matches calls by method and path prefix.
type CallPattern struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

func (*Engine) kind() {}
func (*Plain) kind()  {}

// Kind returns the service's kind, nil where none is set.
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
	nameForm   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,127}$`)
	methodForm = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// Validate returns what is wrong with the entry by itself, nil if nothing.
func (s Service) Validate() error {
	switch {
	case !nameForm.MatchString(s.Name):
		return errors.Errorf("malformed name %.200q", s.Name)
	case s.Engine != nil && s.Plain != nil:
		return errors.New("two kinds, engine and plain")
	}
	switch kind := s.Kind().(type) {
	case *Engine:
		if !nameForm.MatchString(kind.Model) {
			return errors.Errorf("malformed model %.200q", kind.Model)
		}
		return nil
	case *Plain:
		return kind.check()
	default:
		return errors.New("no kind, neither engine nor plain")
	}
}

func (p *Plain) check() error {
	for _, c := range p.Idempotent {
		if !methodForm.MatchString(c.Method) {
			return errors.Errorf("malformed method %.200q", c.Method)
		}
		if !strings.HasPrefix(c.Path, "/") || path.Clean(c.Path) != strings.TrimSuffix(c.Path, "/") && c.Path != "/" {
			return errors.Errorf("path %.200q is not absolute and clean", c.Path)
		}
	}
	return nil
}

// IsIdempotent reports whether the call may be repeated: its method and a
// prefix of its path, ending between segments, are listed as idempotent. A
// path with empty or dot segments never is.
func (p *Plain) IsIdempotent(method, called string) bool {
	clean := path.Clean(called)
	if clean != called && clean+"/" != called {
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
