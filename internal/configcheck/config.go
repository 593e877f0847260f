// Package configcheck checks a version of the operators' configuration before it is sent,
// and compares two versions. It does no I/O. Names of the wire format are not known here:
// a finding names the part and the field, and the front end translates them.
package configcheck

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/result"
	"github.com/cranberrypier/cranberrypier/internal/routing"
)

// Config is a decoded configuration whose parts keep their positions, also those that the
// product leaves out or that others replace.
type Config struct {
	Version        uint64
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	Routes         []Route
	Services       []Service
	Teams          []Team
	// Faults are the parts that cannot be decoded.
	Faults []Fault
}

// Route is a route at its index in the list of routes.
type Route struct {
	Index int
	*routing.Route
	// Split is true if the route names its services in a list.
	Split bool
}

// Service is a service at its index in the list of services.
type Service struct {
	Index int
	*routing.Service
}

// Team is a team at its index in the list of teams, with its keys.
type Team struct {
	Index int
	*routing.Team
	Keys []string
}

// Fault is a part that cannot be decoded.
type Fault struct {
	Part  Part
	Index int
	Err   error
}

// Part is a list of the configuration, or the configuration itself.
type Part int

// The parts.
const (
	PartConfig Part = iota
	PartRoute
	PartService
	PartTeam
)

// Field is a field of a part; FieldNone stands for the whole part.
type Field int

// The fields.
const (
	FieldNone Field = iota
	FieldVersion
	FieldMaxBody
	FieldMaxHeader
	FieldIdleTimeout
	FieldName
	FieldHost
	FieldPrefix
	FieldType
	FieldTimeout
	FieldTargetLatency
	FieldTargetGap
	FieldPriority
	FieldModels
	FieldService
	FieldBackends
	FieldMaxRuns
	FieldPublic
	FieldRegions
	FieldKeys
	FieldColdStart
	FieldColdRate
	FieldSlots
	FieldKVCapacity
)

// Path locates a finding or a change. Sub is the index in a list field, negative for the
// whole field.
type Path struct {
	Part  Part
	Index int
	Field Field
	Sub   int
}

// Finding is a fault of a configuration.
type Finding struct {
	Code   result.Code
	Path   Path
	Detail string
}
