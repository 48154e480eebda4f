// Package stage is the root of the packages that make decisions. Their types are
// state machines: they process events and return actions. They perform no I/O,
// start no goroutines and read no clock.
package stage
