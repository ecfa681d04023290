// Package vanillabarrow holds the data types and the interfaces of the
// vanillabarrow configuration distribution system.
//
// The package does no I/O. Implementations of its interfaces live below
// internal/ and register themselves with the kernel.
package vanillabarrow
