package membership

// Heartbeat is the one-way message of peer.KindHeartbeat. It contains the sender's state, the time
// since it last received a heartbeat from the receiver, and the changes of its table that the
// receiver has not acknowledged.
type Heartbeat struct {
	Epoch             uint64 // first incarnation of the sender's process; identifies its sequence of table versions
	IncarnationOffset uint64 // sender's incarnation minus Epoch
	Generation        uint64 // of the configuration document that the sender has in force
	Hash              uint64 // of that document
	TableHash         uint32 // of the sender's records

	ExpectsHeartbeats bool   // the receiver is a heartbeat partner of the sender
	ReceivedAgoMS     uint32 // time since the receiver's last heartbeat, or neverReceived

	AckEpoch uint32 // lower bits of the receiver's epoch to which Ack belongs
	Ack      uint64 // version of the receiver's table that the sender has merged
	Base     uint64 // version of the sender's table after which the changes begin
	Version  uint64 // version of the sender's table up to which the changes are included

	Records           []Record
	GenerationUpdates []GenerationUpdate
	Regions           []RegionSummary

	Probes   []string        // members for which the sender requests evidence
	Evidence []AliveEvidence // answers to the receiver's probes

	Buckets []uint32 // hashes of the buckets of the sender's table; empty: not sent
}

// Incarnation returns the sender's incarnation.
func (h *Heartbeat) Incarnation() uint64 { return h.Epoch + h.IncarnationOffset }

// neverReceived is the value of ReceivedAgoMS if no heartbeat was received.
const neverReceived = 1<<32 - 1

// GenerationUpdate lists, by short ID, members of the sender's region that have a generation in force.
type GenerationUpdate struct {
	Generation uint64
	Members    []uint32
}

// RegionSummary summarizes the generations in a region. The region's relays publish it.
type RegionSummary struct {
	Region     uint32   // ID of the region
	Counter    uint64   // increases with each summary
	Generation uint64   // minimum generation of all members except Exceptions
	Exceptions []uint32 // members with a lower generation, by short ID
}

// AliveEvidence states the age of the last heartbeat that the sender received from a member.
type AliveEvidence struct {
	Name        string
	Incarnation uint64
	AgeMS       uint32
}

// JoinRequest is the request of the peer.KindJoin call.
type JoinRequest struct {
	Record        Record
	AcceptsPacked bool // the response may be packed
}

// JoinResponse is the response to a JoinRequest.
type JoinResponse struct {
	Name    string // of the responding daemon
	Records []Record
	Regions []RegionSummary
	Packed  []byte // records packed by pack.Pack, instead of Records
}
