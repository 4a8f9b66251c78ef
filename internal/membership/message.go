package membership

// Heartbeat is the one-way message of peer.KindHeartbeat: the sender's state, when it last
// received from the receiver, and its table's changes since the receiver's acknowledgment.
type Heartbeat struct {
	Epoch      uint64 // first incarnation of the sender's process; versions belong to it
	Renewed    uint64 // sender's incarnation above Epoch
	Generation uint64 // of the document that the sender has in force
	Hash       uint64 // of that document
	TableHash  uint32 // of the sender's records

	Wanted        bool   // the receiver is a partner of the sender
	ReceivedAgoMS uint32 // since the last heartbeat of the receiver; or neverReceived

	AckEpoch uint32 // lower bits of the receiver's epoch that Ack belongs to
	Ack      uint64 // version of the receiver's table that the sender has
	Base     uint64 // the changes are those after this version of the sender's table
	Version  uint64 // ... and up to this one

	Records []Record
	Notes   []Note
	Regions []RegionNote

	Probes   []string        // members that the sender asks evidence for
	Evidence []AliveEvidence // for the receiver's probes
}

// Incarnation returns the sender's incarnation.
func (h *Heartbeat) Incarnation() uint64 { return h.Epoch + h.Renewed }

// neverReceived is the ReceivedAgoMS without any heartbeat of the receiver.
const neverReceived = 1<<32 - 1

// Note lists the members of the sender's region with a generation, by short ID.
type Note struct {
	Generation uint64
	Members    []uint32
}

// RegionNote is a region's summary by its relays.
type RegionNote struct {
	Region     uint32   // ID of the region
	Beat       uint64   // increases with each note
	Generation uint64   // that all members have at least
	Except     []uint32 // other members, by short ID
}

// AliveEvidence is the age of the last heartbeat that the sender received from a member.
type AliveEvidence struct {
	Name        string
	Incarnation uint64
	AgeMS       uint32
}

// JoinRequest is the message of peer.KindJoin, a call.
type JoinRequest struct {
	Record Record
}

// JoinAnswer is the answer to a JoinRequest.
type JoinAnswer struct {
	Name    string // of the daemon that answers
	Records []Record
	Regions []RegionNote
}
