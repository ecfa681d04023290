// Package deploy holds what is published with the program for its deployment. It is a
// package because go:embed reaches no folder above its own.
package deploy

import _ "embed" // for NodeSettings

// NodeSettings is the template of the settings of a node, in the form that the users'
// platform fills in.
//
//go:embed node.yaml
var NodeSettings string
