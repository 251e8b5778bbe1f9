// Package route chooses an endpoint for an attempt. An Index samples a few of the endpoints
// that may run a model, and Choose takes the candidate with the least expected delay. The
// choice is a pure function of the sample, and its cost doesn't grow with the number of
// endpoints.
package route
