// Package proto holds the definitions of the control messages. The generated
// code is committed, so a build needs no generator.
package proto

//go:generate go run github.com/bufbuild/buf/cmd/buf@v1.50.0 generate
