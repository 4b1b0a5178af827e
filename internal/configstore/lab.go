//go:build lab

package configstore

import (
	"hash/fnv"
	"os"
)

// The lab's seeded defects: the loop waits for its disk, as it did once; or a keeper's identity is its name, so that one
// whose folder was wiped votes as before, and nobody notes how far it had come.
func init() {
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "loop-waits" {
		submitJob = (*Replica).runJob
	}
	if os.Getenv("RINGTRACK_LAB_DEFECT") == "wiped-votes" {
		newReplicaID = func(name string) uint64 {
			h := fnv.New64a()
			h.Write([]byte(name))
			return h.Sum64()>>1 | 1
		}
		detectRollback = false
	}
}
