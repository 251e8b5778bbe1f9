// Package crowd simulates clients that don't behave: they send large, endless or unfinished
// requests, stay silent or never read an answer. It also starts a process of the product and
// measures its memory and descriptors while such clients stay.
package crowd
