package platform

// ListBody is the JSON body of responses to lists and watches.
type ListBody struct {
	Revision uint64       `json:"revision"`
	Objects  []ObjectBody `json:"objects"`
}

// ObjectBody is one object of a ListBody; version 0 means that it was deleted.
type ObjectBody struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// VMsBody is the JSON body of the list of VMs.
type VMsBody struct {
	VMs []VM `json:"vms"`
}
