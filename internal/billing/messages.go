// Package billing bills each request once. Bills are collected in batches, called
// parcels, that are named by VM, incarnation and number and written create-only.
// A write can therefore be retried safely if its response was lost.
package billing

// Bill is the charge for one request with all of its steps.
type Bill struct {
	// Request identifies the bill: the request's ID, or the claim's digest for a
	// request that may not be repeated.
	Request string `json:"request" cbor:"1,keyasint"`
	Team    string `json:"team" cbor:"2,keyasint"`
	Class   string `json:"class" cbor:"3,keyasint"`
	// Model and Version produced the returned answer. For a plain service, Model
	// is the service's name.
	Model   string `json:"model" cbor:"4,keyasint"`
	Version string `json:"version" cbor:"5,keyasint"`
	// Tokens is the number of tokens in the returned answer.
	Tokens int `json:"tokens" cbor:"6,keyasint"`
	// Cost is the cost of all steps, in cost units.
	Cost float64 `json:"cost" cbor:"7,keyasint"`
	// Steps is the number of upstream runs.
	Steps int `json:"steps" cbor:"8,keyasint"`
	// AtMS is the wall-clock time at which the request ended, in Unix
	// milliseconds.
	AtMS int64 `json:"at_ms" cbor:"9,keyasint"`
}
