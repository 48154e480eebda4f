// Package stage is the root of the decision core: aggregates that take events
// and return actions, without I/O, goroutines or a clock of their own.
package stage
