// Package vanillabarrow defines the data types and the interfaces of
// vanillabarrow, a service mesh whose nodes distribute its configuration.
//
// A node runs on each VM, next to a target, which is an instance of a service.
// It routes the requests of the callers on its VM and sends each one, in one or
// more attempts, to the nodes of suitable targets. At such a node, the gate in
// front of the target admits, queues or refuses the attempt and records its
// outcome. The platform is the external store that publishes the configuration:
// some nodes read it there, the others receive it from them.
//
// The package does no I/O. Implementations of its interfaces are in the
// packages below internal/, which register themselves as plug-ins with the
// kernel.
package vanillabarrow
