package control

// frozen is a message that blocks the control goroutine until its channel is
// closed.
type frozen struct{ until <-chan struct{} }

func (frozen) message() {}
func (f frozen) block() { <-f.until }

// Freeze blocks the control goroutine until the channel is closed, as a pause of the
// process does.
func (l *Loop) Freeze(until <-chan struct{}) { l.send(frozen{until}) }
