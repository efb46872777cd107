package recorder

// Events of messages and membership have the numbers 5000 to 5999.
const (
	MemberJoined    Code = 5001
	MemberSuspected Code = 5002
	MemberRestored  Code = 5003
	MemberLeaving   Code = 5004
	MemberGone      Code = 5005
	VMListLost      Code = 5006
	VMListRestored  Code = 5007
	MemberLost      Code = 5008
	PeerRefused     Code = 5101
	PeerOutdated    Code = 5102
	KeysReloaded    Code = 5201
	KeysUnusable    Code = 5202
	// NoticeFailed is logged when a notice of a daemon's load cannot be encoded, received or
	// decoded, or when this daemon cannot listen for notices.
	NoticeFailed Code = 5301
)

var _ = declare(eventNames{
	MemberJoined:    "member_joined",
	MemberSuspected: "member_suspected",
	MemberRestored:  "member_restored",
	MemberLeaving:   "member_leaving",
	MemberGone:      "member_gone",
	VMListLost:      "vm_list_lost",
	VMListRestored:  "vm_list_restored",
	MemberLost:      "member_lost",
	PeerRefused:     "peer_refused",
	PeerOutdated:    "peer_outdated",
	KeysReloaded:    "keys_reloaded",
	KeysUnusable:    "keys_unusable",
	NoticeFailed:    "notice_failed",
})
