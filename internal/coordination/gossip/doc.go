// Package gossip replicates documents (the table, the plan, the share factors) between nodes.
// A Store keeps the newest version of each document that a node has received and passes newer
// ones to subscribers; a Replicator exchanges them with other nodes, and a Poller reads them
// from the table service. A document's version never goes back on a node.
package gossip
