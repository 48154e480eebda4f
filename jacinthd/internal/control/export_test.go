package control

// frozen holds the control goroutine until its channel is closed.
type frozen struct{ until <-chan struct{} }

func (frozen) post()   {}
func (f frozen) hold() { <-f.until }

// Freeze holds the control goroutine, like a process that is paused, until the
// channel is closed.
func (l *Loop) Freeze(until <-chan struct{}) { l.post(frozen{until}) }
