// Package proto holds the definitions of the control messages. The generated
// code is committed, so a build needs no generator.
package proto

//go:generate protoc -I . --go_out=.. --go_opt=module=github.com/vanillabarrow/vanillabarrow --connect-go_out=.. --connect-go_opt=module=github.com/vanillabarrow/vanillabarrow control.proto
