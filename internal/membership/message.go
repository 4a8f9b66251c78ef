package membership

// Heartbeat is the message of peer.KindHeartbeat, one way. It carries the
// sender's own state, what it last heard of the receiver, and what changed in
// its table since the receiver's last acknowledgment.
type Heartbeat struct {
	Epoch      uint64 // first incarnation of the sender's process; versions count within it
	Renewed    uint64 // how far the sender's incarnation is above Epoch
	Generation uint64 // of the document that the sender has in force
	Hash       uint64 // of that document
	TableHash  uint32 // of the sender's records

	Wanted  bool   // the receiver is one of those that the sender exchanges heartbeats with
	HeardMS uint32 // how long ago the sender last heard the receiver; neverHeard if not

	AckEpoch uint32 // lower bits of the receiver's epoch to which Ack belongs
	Ack      uint64 // version of the receiver's table up to which the sender has all changes
	Base     uint64 // the changes below are those after this version of the sender's table
	Version  uint64 // ... and up to this one

	Records []Record
	Notes   []Note
	Regions []RegionNote

	Ask   []string // members about which the sender wants to know
	Heard []Sign   // members that the receiver asked about and the sender heard lately
}

// Incarnation returns the sender's incarnation.
func (h *Heartbeat) Incarnation() uint64 { return h.Epoch + h.Renewed }

// neverHeard is the HeardMS of a sender that has not heard the receiver.
const neverHeard = 1<<32 - 1

// Note tells which members of the sender's region have a generation in force,
// by their short IDs.
type Note struct {
	Generation uint64
	Members    []uint32
}

// RegionNote is what the relays of a region say of it.
type RegionNote struct {
	Region     uint32   // ID of the region
	Beat       uint64   // rises with each note
	Generation uint64   // that all members have in force or surpass
	Except     []uint32 // but these, by their short IDs
}

// Sign is a sign of life of a member that the sender heard itself.
type Sign struct {
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
