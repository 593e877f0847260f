package billing

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// parcelMost is the most bills of one parcel: about 64 KB.
const maxParcelBills = 256

// Name identifies a parcel. A router numbers its parcels and never changes one
// that it has named, so whoever writes the object of that name, and however
// often, writes the same bills.
type Name struct {
	VM string `cbor:"1,keyasint"`
	// Incarnation is the router's.
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
}

// Object is the name of the object in the platform's service.
func (n Name) Object() string { return fmt.Sprintf("%s/%d/%d", n.VM, n.Incarnation, n.Number) }

// Parcel is a named batch of bills.
type Parcel struct {
	Name  Name   `cbor:"1,keyasint"`
	Bills []Bill `cbor:"2,keyasint"`
}

// encode returns the object's value, a JSON list.
func (p Parcel) encode() ([]byte, error) {
	b, err := json.Marshal(p.Bills)
	return b, trace.Wrap(err)
}

// PutAnswer is the answer to billing.put and billing.copy.
type PutAnswer struct {
	// Held is true when the agent keeps the parcel until it is stored.
	Held bool `cbor:"1,keyasint"`
	// Stored is true when the platform's service has it.
	Stored bool `cbor:"2,keyasint"`
}

// Drop tells the holder of copies which parcels are stored.
type Drop struct {
	Names []Name `cbor:"1,keyasint"`
}
