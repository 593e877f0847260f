package billing

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// maxParcelBills is the maximum number of bills in one parcel, which is then
// about 64 KB.
const maxParcelBills = 256

// Name identifies a parcel. A router numbers its parcels and never changes a
// parcel after naming it. All writes of the object with that name, by any agent,
// therefore contain the same bills.
type Name struct {
	VM string `cbor:"1,keyasint"`
	// Incarnation is the router's incarnation.
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
}

// Object returns the name of the object in the platform's store.
func (n Name) Object() string { return fmt.Sprintf("%s/%d/%d", n.VM, n.Incarnation, n.Number) }

// Parcel is a named batch of bills.
type Parcel struct {
	Name  Name   `cbor:"1,keyasint"`
	Bills []Bill `cbor:"2,keyasint"`
}

// encode returns the object's value: the bills as a JSON array.
func (p Parcel) encode() ([]byte, error) {
	b, err := json.Marshal(p.Bills)
	return b, trace.Wrap(err)
}

// PutAnswer is the answer to billing.put and billing.copy.
type PutResponse struct {
	// Held is true if the agent holds the parcel until it is stored.
	Held bool `cbor:"1,keyasint"`
	// Stored is true if the parcel is in the platform's store.
	Stored bool `cbor:"2,keyasint"`
}

// Drop is sent to an agent that holds copies. It lists parcels that are stored,
// so that the agent can delete its copies.
type Drop struct {
	Names []Name `cbor:"1,keyasint"`
}
