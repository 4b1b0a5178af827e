package zkwire

import "fmt"

// Op is the code of an operation, as in ZooDefs.OpCode.
type Op int32

// Operations.
const (
	OpNotification  Op = 0
	OpCreate        Op = 1
	OpDelete        Op = 2
	OpExists        Op = 3
	OpGetData       Op = 4
	OpSetData       Op = 5
	OpGetACL        Op = 6
	OpSetACL        Op = 7
	OpGetChildren   Op = 8
	OpSync          Op = 9
	OpPing          Op = 11
	OpGetChildren2  Op = 12
	OpCheck         Op = 13
	OpMulti         Op = 14
	OpCreate2       Op = 15
	OpAuth          Op = 100
	OpSetWatches    Op = 101
	OpSetWatches2   Op = 105
	OpAddWatch      Op = 106
	OpCreateSession Op = -10
	OpCloseSession  Op = -11
	OpError         Op = -1
)

// Code is an error code, as in KeeperException.Code. Every Code except OK is used as an error.
type Code int32

// Error codes.
const (
	OK                Code = 0
	SystemError       Code = -1
	ConnectionLoss    Code = -4
	MarshallingError  Code = -5
	Unimplemented     Code = -6
	BadArguments      Code = -8
	NoNode            Code = -101
	NoAuth            Code = -102
	BadVersion        Code = -103
	EphemeralChildren Code = -108
	NodeExists        Code = -110
	NotEmpty          Code = -111
	SessionExpired    Code = -112
	InvalidACL        Code = -114
	AuthFailed        Code = -115
	NotReadOnly       Code = -119
	RolledBack        Code = -2
)

var codeTexts = map[Code]string{
	OK:                "ok",
	SystemError:       "system error",
	ConnectionLoss:    "connection loss",
	MarshallingError:  "marshalling error",
	Unimplemented:     "unimplemented",
	BadArguments:      "bad arguments",
	NoNode:            "no node",
	NoAuth:            "not authorised",
	BadVersion:        "bad version",
	EphemeralChildren: "ephemeral nodes have no children",
	NodeExists:        "node exists",
	NotEmpty:          "node has children",
	SessionExpired:    "session expired",
	InvalidACL:        "invalid ACL",
	AuthFailed:        "authentication failed",
	NotReadOnly:       "the server is read-only",
	RolledBack:        "rolled back",
}

// Error returns the text of the code, or its number if the code is unknown.
func (c Code) Error() string {
	if text := codeTexts[c]; text != "" {
		return "zookeeper: " + text
	}
	return fmt.Sprintf("zookeeper: error %d", int32(c))
}

// Values of Xid in frames that do not reply to a numbered request.
const (
	XidEvent      = -1
	XidPing       = -2
	XidAuth       = -4
	XidSetWatches = -8
)

// Event is the type of a watch event.
type Event int32

// Types of watch events.
const (
	NodeCreated         Event = 1
	NodeDeleted         Event = 2
	NodeDataChanged     Event = 3
	NodeChildrenChanged Event = 4
)

// SyncConnected is the connection state in events about nodes.
const SyncConnected = 3

// Flags of OpCreate.
const (
	FlagEphemeral  = 1
	FlagSequential = 2
)

// Modes of OpAddWatch.
const (
	WatchPersistent          = 0
	WatchPersistentRecursive = 1
)

// Permissions in an ACL.
const (
	PermRead   = 1
	PermWrite  = 2
	PermCreate = 4
	PermDelete = 8
	PermAdmin  = 16
	PermAll    = 31
)
