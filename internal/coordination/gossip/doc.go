// Package gossip keeps the newest version of each document that a node has seen
// (the table, the plan), tells subscribers of newer ones and passes them between
// nodes. A document's version never goes back on a node.
package gossip
