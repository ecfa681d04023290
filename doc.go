// Package vanillabarrow defines the data types and the interfaces of the
// vanillabarrow configuration distribution system.
//
// The package does no I/O. Implementations of its interfaces are in the
// packages below internal/, which register themselves as plug-ins with the
// kernel.
package vanillabarrow
