// Package deploy holds what is published with the program for its deployment.
package deploy

import _ "embed" // for NodeSettings

// NodeSettings is the template of the settings of a node, in the form that the users'
// platform fills in.
//
//go:embed node.yaml
var NodeSettings string
