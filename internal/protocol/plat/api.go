package plat

// Paths of the platform's services.
const (
	PathTableRead   = "/table/v1/read"
	PathTableGet    = "/table/v1/get"
	PathTableCommit = "/table/v1/commit"
	PathObjects     = "/objects/v1/"
	PathWeights     = "/weights/v1/"
	PathHosts       = "/hosts/v1"
)

// CommitReply is the reply to a commit.
type CommitReply struct {
	Version uint64 `json:"version"`
}
