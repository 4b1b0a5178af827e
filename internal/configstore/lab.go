//go:build lab

package configstore

import (
	"hash/fnv"
	"os"
)

// Defects seeded by the lab: the event loop waits for the disk; or the id of a replica is derived from its
// name, so that a replica whose data directory was wiped votes as before, and rollbacks are not detected.
func init() {
	switch os.Getenv("RINGTRACK_LAB_DEFECT") {
	case "loop-waits":
		submitJob = (*Replica).runJob
	case "wiped-votes":
		newReplicaID = func(name string) uint64 {
			hash := fnv.New64a()
			hash.Write([]byte(name))
			return nonZeroID(hash.Sum64())
		}
		detectRollback = false
	}
}
