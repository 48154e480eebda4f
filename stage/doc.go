// Package stage is the root of the decision core: state machines that take events
// and return actions, without I/O, goroutines or a clock of their own.
package stage
