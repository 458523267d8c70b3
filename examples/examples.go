// Package examples embeds the desired-state documents of two example deployments.
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
