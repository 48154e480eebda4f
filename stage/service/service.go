// Package service holds the configuration's entries for services: groups of
// targets that are alike, either model engines or plain services.
package service

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
	Idempotent []Call `json:"idempotent,omitempty"`
}

// A Call matches calls by method and path prefix.
type Call struct {
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
