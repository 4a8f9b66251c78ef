package edge

// VMRecord is the value of an object in the platform's list of VMs. The list may be
// out of date.
type VMRecord struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Leaving       bool   `json:"leaving"`
}

// TargetRecord is the value of an object in the platform's list of targets.
type TargetRecord struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}
