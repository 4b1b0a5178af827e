//go:build lab

package configstore

import (
	"hash/fnv"
	"os"
)

// Defects that the lab seeds: the loop waits for its disk; or a replica's identity is its name, so that one whose data
// directory was wiped votes as before, and nobody records how far it had come.
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
