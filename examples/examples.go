// Package examples embeds the desired-state documents of example deployments.
package examples

import _ "embed"

// Association is the desired-state document of the example deployment "association", in JSON.
//
//go:embed association/desired.json
var Association []byte

// Cooperative is the desired-state document of the example deployment "cooperative", in JSON.
//
//go:embed cooperative/desired.json
var Cooperative []byte

// Keyed is an example of a desired-state document in JSON whose workspaces have API keys, and which bounds the number of
// targets that may be ordered.
//
//go:embed keyed/desired.json
var Keyed []byte
