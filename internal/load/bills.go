package load

import (
	"context"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/billing"
	"github.com/cranberrypier/cranberrypier/internal/platform"
)

// ReadBills counts the bills in the platform's object store by identity: the
// claim's digest for writes, the request id otherwise.
func ReadBills(ctx context.Context, store platform.Store) (BillCount, error) {
	objects, err := store.List(ctx, platform.KindBill, "")
	if err != nil {
		return nil, err
	}
	out := BillCount{}
	for _, o := range objects {
		bills, err := decodeBills(o.Value)
		if err != nil {
			return nil, trace.Wrap(err, "bill %q", o.Name)
		}
		for _, b := range bills {
			out[b.Request]++
		}
	}
	return out, nil
}

// decodeBills decodes a batch of bills. Agents write batches as JSON lists; a CBOR
// list is accepted too.
func decodeBills(raw []byte) ([]billing.Bill, error) {
	var bills []billing.Bill
	if json.Unmarshal(raw, &bills) == nil {
		return bills, nil
	}
	err := cbor.Unmarshal(raw, &bills)
	return bills, trace.Wrap(err)
}
